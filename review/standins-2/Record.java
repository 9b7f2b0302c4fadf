import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    static synchronized void line(String text, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f  ", seconds()) + String.format(Locale.ROOT, text, values);
        out.println(line);
        System.out.println(line);
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }
}
