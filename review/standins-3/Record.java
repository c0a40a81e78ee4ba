package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing sent, answered or run, with the time since the start in ms. */
final class Record {

    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the time since the start in milliseconds. */
    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void add(String format, Object... values) {
        out.printf(Locale.ROOT, "%7d  %s%n", now(), String.format(Locale.ROOT, format, values));
        out.flush();
    }
}
