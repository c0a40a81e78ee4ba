package review;

import java.nio.file.Files;
import java.nio.file.Path;

/** Start and end of a trial. */
public final class Trial {

    private Trial() {}

    /** Returns whether the disruption shall happen. */
    public static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** A trial. */
    public interface Body {
        /** Returns whether the rule held. */
        boolean run(Path folder) throws Exception;
    }

    public static void run(Body body) throws Exception {
        Record.open(Path.of(System.getProperty("record", "record.txt")));
        Path folder = Files.createTempDirectory("review");
        Record.line("trouble: %s", trouble());
        boolean held;
        try {
            held = body.run(folder);
        } catch (Exception e) {
            Record.say("the trial could not run: %s", e);
            e.printStackTrace();
            end(2, folder);
            return;
        }
        Record.say(held ? "the rule held" : "the rule was broken");
        end(held ? 0 : 1, folder);
    }

    static void cannotRun(String why) {
        Record.say("the trial could not run: %s", why);
        Machine.endAll();
        Runtime.getRuntime().halt(2);
    }

    private static void end(int code, Path folder) throws Exception {
        Machine.endAll();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(folder)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.out.println("kept " + folder);
        }
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }
}
