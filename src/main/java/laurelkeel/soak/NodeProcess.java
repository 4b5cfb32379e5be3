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
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One front node as the platform runs it: a process that runs {@code serve} with the platform's bounds. Thread-safe; figures
 * come from {@code /proc}.
 */
public final class NodeProcess {
    private static final String PEAK_MEMORY_KILOBYTES = "VmHWM:";
    /** Of schedstat's nanoseconds run, nanoseconds waited and time slices. */
    private static final int WAITED_FIELD = 1;

    private static final Pattern FIELDS = Pattern.compile(" ");
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

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
     * @param image what is started
     * @param configuration the file that the platform hands it
     * @param log where its standard error is appended
     * @param environment added to that of this process
     * @param maxDescriptors the system's limit of its file descriptors
     * @throws IOException where the process cannot be started
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
     * Sends a signal; one that has ended is left alone.
     *
     * @param name without SIG, as HUP, TERM or KILL
     */
    public void signal(String name) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Milliseconds since it was started. */
    public long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    /** Waits for its end and returns its exit status; empty where it does not end in that time. */
    public OptionalInt awaitExit(long maxWaitMillis) throws InterruptedException {
        return process.waitFor(maxWaitMillis, TimeUnit.MILLISECONDS)
                ? OptionalInt.of(process.exitValue())
                : OptionalInt.empty();
    }

    /** Ends it at once. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** What it and earlier processes with the same file have logged. */
    public String log() throws IOException {
        return Files.readString(log);
    }

    /** File descriptors that it has open; 0 where it has ended. */
    public int openDescriptors() {
        try (Stream<Path> descriptors = Files.list(proc("fd"))) {
            return (int) descriptors.count();
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    /**
     * How long each of its threads has been ready to run and had no core, in seconds by thread; empty where the system does
     * not say, or the process has ended.
     */
    Map<String, Double> coreWaitSecondsByThread() {
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
            // the process, or a thread of it, has ended meanwhile
            return waits;
        }
        return waits;
    }

    /** Processor time since its start, in seconds; 0 where it has ended. */
    public double cpuSeconds() {
        return process.info()
                .totalCpuDuration()
                .map(spent -> spent.toMillis() / MILLIS_PER_SECOND)
                .orElse(0.0);
    }

    /** Its peak memory in megabytes; 0 where it has ended. */
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
