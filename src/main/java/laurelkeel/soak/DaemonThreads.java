package laurelkeel.soak;

import java.io.IOException;

/** Starts daemon threads for tasks that may end when their connection is closed. */
final class DaemonThreads {
    private DaemonThreads() {}

    /** A task that ends early if its connection is closed or its thread is interrupted. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    /** Starts a daemon thread that runs a task. */
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
            // the peer has closed the connection, or the end of the run has
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
