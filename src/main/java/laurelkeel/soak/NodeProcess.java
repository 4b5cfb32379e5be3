package laurelkeel.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One front node as the platform runs it: a process that runs {@code serve} with the platform's resource limits.
 * Thread-safe; resource figures come from {@code /proc}.
 */
public final class NodeProcess {
    private static final String PEAK_MEMORY_KILOBYTES = "VmHWM:";
    /** The index of the nanoseconds waited in schedstat, which lists nanoseconds run, nanoseconds waited and time slices. */
    private static final int WAITED_FIELD = 1;

    private static final Pattern FIELDS = Pattern.compile(" ");
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private static final int READY_MILLIS = 10_000;
    private static final int READY_POLL_MILLIS = 20;

    private final Process process;
    private final Path log;
    private final long startedNanos = System.nanoTime();

    private NodeProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /**
     * Starts a node.
     *
     * @param image the command that runs the node
     * @param configuration the configuration file of the node
     * @param log the file that standard error is appended to
     * @param environment variables added to those of this process
     * @param maxDescriptors the system's limit of the node's open file descriptors
     * @throws IOException if the process cannot be started
     */
    public static NodeProcess start(
            NodeImage image, Path configuration, Path log, Map<String, String> environment, int maxDescriptors)
            throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + maxDescriptors + " && exec \"$@\"", "sh");
        builder.command().addAll(image.command());
        builder.environment().put("RELAY_CONFIG", configuration.toString());
        builder.environment().putAll(environment);
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        return new NodeProcess(builder.start(), log);
    }

    /**
     * Sends a signal; does nothing if the process has exited.
     *
     * @param name the signal's name without SIG, for example HUP, TERM or KILL
     */
    public void signal(String name) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /**
     * Waits until the node is ready.
     *
     * @param isReady whether it is
     * @throws IOException with the log, if the process exits before or takes too long
     */
    void awaitReady(BooleanSupplier isReady) throws IOException, InterruptedException {
        while (!isReady.getAsBoolean()) {
            if (!isAlive() || ageMillis() > READY_MILLIS) {
                throw new IOException("the node is not ready: " + log());
            }
            Thread.sleep(READY_POLL_MILLIS);
        }
    }

    /** Whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the milliseconds since the process was started. */
    public long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    /** Waits for the process to exit and returns its exit status; empty if it does not exit within that time. */
    public OptionalInt awaitExit(long maxWaitMillis) throws InterruptedException {
        return process.waitFor(maxWaitMillis, TimeUnit.MILLISECONDS)
                ? OptionalInt.of(process.exitValue())
                : OptionalInt.empty();
    }

    /** Sends SIGKILL and waits for the process to exit. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Returns the log of this process and of earlier processes with the same log file. */
    public String log() throws IOException {
        return Files.readString(log);
    }

    /** Returns the number of open file descriptors; 0 if the process has exited. */
    public int openDescriptors() {
        try (Stream<Path> descriptors = Files.list(proc("fd"))) {
            return (int) descriptors.count();
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    /**
     * Returns how long each thread has been runnable without a CPU, in seconds by thread id; empty if the system does not
     * report it, or if the process has exited.
     */
    Map<String, Double> cpuWaitSecondsByThread() {
        Map<String, Double> waits = new HashMap<>();
        try (Stream<Path> threads = Files.list(proc("task"))) {
            for (Path thread : (Iterable<Path>) threads::iterator) {
                List<String> figures = FIELDS.splitAsStream(
                                Files.readString(thread.resolve("schedstat")).strip())
                        .toList();
                double waitedSeconds = Long.parseLong(figures.get(WAITED_FIELD)) / NANOS_PER_SECOND;
                waits.put(thread.getFileName().toString(), waitedSeconds);
            }
        } catch (IOException | UncheckedIOException e) {
            // the process, or one of its threads, has ended meanwhile
            return waits;
        }
        return waits;
    }

    /** Returns the CPU time since the start, in seconds; 0 if the process has exited. */
    public double cpuSeconds() {
        return process.info()
                .totalCpuDuration()
                .map(spent -> spent.toMillis() / MILLIS_PER_SECOND)
                .orElse(0.0);
    }

    /** Returns the peak resident memory in megabytes; 0 if the process has exited. */
    public int peakMemoryMegabytes() {
        try (Stream<String> status = Files.lines(proc("status"))) {
            return status.filter(line -> line.startsWith(PEAK_MEMORY_KILOBYTES))
                    .flatMap(line -> FIELDS.splitAsStream(line.substring(PEAK_MEMORY_KILOBYTES.length())
                                    .strip())
                            .limit(1))
                    .mapToInt(kilobytes -> Integer.parseInt(kilobytes) >> 10)
                    .findFirst()
                    .orElse(0);
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    private Path proc(String entry) {
        return Path.of("/proc", Long.toString(process.pid()), entry);
    }
}
