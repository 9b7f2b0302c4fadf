import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with seconds since the start. */
final class Record implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(), text));
    }

    void debug(String text) {
        if (System.getenv("DEBUG") != null) {
            line("debug: " + text);
        }
    }

    @Override
    public void close() {
        out.close();
    }
}
