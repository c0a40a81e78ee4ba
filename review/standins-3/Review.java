package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Plays one case: {@code Review NAME FOLDER}. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
public final class Review {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final int LIMIT_MILLIS = 110_000;

    private Review() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[1]).resolve("record.txt"));
        Path folder = Files.createTempDirectory("review-3");
        Scenario scenario = create(args[0], record, folder, trouble);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(scenario, folder)));
        Thread watch = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            record.add("the run takes too long");
            System.exit(NOT_RUN);
        });
        watch.setDaemon(true);
        watch.start();
        int result;
        try {
            result = scenario.play() ? BROKEN : HELD;
        } catch (Exception e) {
            record.add("the case could not run: %s", e);
            result = NOT_RUN;
        }
        System.out.println(args[0] + (trouble ? "" : " without the disruption") + ": "
                + (result == BROKEN ? "rule broken" : result == HELD ? "rule held" : "could not run"));
        System.exit(result);
    }

    private static Scenario create(String name, Record record, Path folder, boolean trouble) throws Exception {
        return switch (name) {
            case "departed-backend" -> new DepartedBackend(record, folder, trouble);
            case "late-report" -> new LateReport(record, folder, trouble);
            case "withdrawn-key" -> new WithdrawnKey(record, folder, trouble);
            default -> throw new IllegalArgumentException("no case " + name);
        };
    }

    private static void end(Scenario scenario, Path folder) {
        try {
            scenario.killAll();
            if (System.getenv("KEEP_LOGS") != null) {
                System.out.println(folder);
                return;
            }
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } catch (Exception e) {
            System.err.println("clean-up failed: " + e);
        }
    }
}
