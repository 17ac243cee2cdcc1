package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time in milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startMs = System.currentTimeMillis();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void note(String text) {
        out.printf("%7d %s%n", System.currentTimeMillis() - startMs, text);
    }
}
