package laurelkeel.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/** One node running as a separate process, started with a settings file. Not thread-safe. */
final class ScenarioNodeProcess {
    private static final long READY_TIMEOUT_SECONDS = 30;
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    private static final long CONNECT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    final int nodeIndex;
    final InetSocketAddress address;
    private final Path settingsFile;
    private final Path logFile;
    private @Nullable Process process;

    ScenarioNodeProcess(int nodeIndex, InetSocketAddress address, Path settingsFile, Path logFile) {
        this.nodeIndex = nodeIndex;
        this.address = address;
        this.settingsFile = settingsFile;
        this.logFile = logFile;
    }

    void start() throws IOException {
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx512m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "laurelkeel.cli.Main",
                        "front",
                        settingsFile.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                .start();
    }

    private Process process() {
        if (process == null) {
            throw new IllegalStateException("front " + nodeIndex + " was not started");
        }
        return process;
    }

    /**
     * Waits until the node accepts connections.
     *
     * @throws IOException if the process ends first, or accepts no connection in time
     */
    void awaitReady() throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        while (System.nanoTime() < endNanos) {
            if (!process().isAlive()) {
                throw new IOException(
                        "front " + nodeIndex + " ended with " + process().exitValue() + "; see " + logFile);
            }
            try (Socket socket = new Socket()) {
                socket.connect(address, CONNECT_TIMEOUT_MILLIS);
                return;
            } catch (IOException e) {
                LockSupport.parkNanos(CONNECT_RETRY_NANOS);
            }
        }
        throw new IOException("front " + nodeIndex + " accepts no connections after " + READY_TIMEOUT_SECONDS + " s");
    }

    /** Kills the process. */
    void kill() {
        process().destroyForcibly();
    }

    /** Requests a graceful shutdown of the process; has no effect if it was not started. */
    void terminate() {
        if (process != null) {
            process.destroy();
        }
    }

    boolean isRunning() {
        return process().isAlive();
    }

    /**
     * Waits for the process to end, and kills it at the timeout.
     *
     * @return the exit code, 0 if the process was not started; empty if it had to be killed
     */
    OptionalInt awaitExit(long timeoutSeconds) throws InterruptedException {
        if (process == null) {
            return OptionalInt.of(0);
        }
        if (process.waitFor(timeoutSeconds, TimeUnit.SECONDS)) {
            return OptionalInt.of(process.exitValue());
        }
        process.destroyForcibly();
        return OptionalInt.empty();
    }
}
