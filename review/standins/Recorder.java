import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case, with the seconds since its start. */
final class Recorder implements AutoCloseable {
    private final long started = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        this.out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void write(String format, Object... arguments) {
        double seconds = (System.nanoTime() - started) / 1e9;
        out.printf(Locale.ROOT, "%8.3f  %s%n", seconds, String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public void close() {
        out.close();
    }
}
