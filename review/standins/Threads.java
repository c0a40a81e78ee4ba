package review;

/** Starts daemon threads. */
public final class Threads {

    /** A task that may throw. */
    public interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    public static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                Record.line("%s ended: %s", name, e);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
