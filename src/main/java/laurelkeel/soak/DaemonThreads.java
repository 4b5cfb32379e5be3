package laurelkeel.soak;

import java.io.IOException;

/** Starts daemon threads for work that may end with its connection. */
final class DaemonThreads {
    private DaemonThreads() {}

    /** Work that ends early where its connection is closed or its thread interrupted. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    /** Starts a thread for a task. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> run(task), "soak-" + name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void run(Task task) {
        try {
            task.run();
        } catch (IOException ignored) {
            // the other side or the end of the run has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
