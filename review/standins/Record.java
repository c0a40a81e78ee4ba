package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a trial: what was sent, answered and run, with the milliseconds since its start. */
public final class Record {

    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    public static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    public static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    public static synchronized void line(String format, Object... values) {
        String text = String.format("%7d %s", millis(), String.format(format, values));
        if (out != null) {
            out.println(text);
        }
    }

    /** Writes a line to the record and to standard output. */
    public static void say(String format, Object... values) {
        line(format, values);
        System.out.println(String.format(format, values));
    }
}
