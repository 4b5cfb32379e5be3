package laurelkeel.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One front node as the platform runs it: a process of its own that {@code serve}s, with its memory bounds, and signals to it. */
public final class NodeProcess {
    /** What a process says of its peak memory: kilobytes. */
    private static final String PEAK = "VmHWM:";

    private final Process process;
    private final Path log;
    private final long startedAt = System.nanoTime();

    private NodeProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /**
     * Starts a node.
     *
     * @param image what is started
     * @param config the configuration that the platform hands it
     * @param log where its standard error is appended
     * @param environment added to that of this process
     * @param descriptors what it may hold, as the system's limit
     */
    public static NodeProcess start(
            NodeImage image, Path config, Path log, Map<String, String> environment, int descriptors)
            throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "sh");
        builder.command().addAll(image.command());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().putAll(environment);
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        return new NodeProcess(builder.start(), log);
    }

    /** Sends a signal by its name, as HUP, TERM or KILL; one that has ended is left alone. */
    public void signal(String name) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Milliseconds since it was started. */
    public long age() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }

    /** Its exit status, or null where it does not end in that time. */
    public Integer awaitEnd(long milliseconds) throws InterruptedException {
        return process.waitFor(milliseconds, TimeUnit.MILLISECONDS) ? (Integer) process.exitValue() : null;
    }

    /** Ends it at once. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** What it and earlier processes with the same file have logged. */
    public String log() throws IOException {
        return Files.readString(log);
    }

    /** Descriptors that it holds now; 0 where it has ended. */
    public int descriptors() {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return (int) open.count();
        } catch (IOException | java.io.UncheckedIOException e) {
            return 0;
        }
    }

    /**
     * How long each of its threads has been ready to run and had no core, in seconds, by thread; empty where the system does
     * not say, or it has ended.
     */
    Map<String, Double> waitsForCore() {
        Map<String, Double> waits = new HashMap<>();
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path thread : (Iterable<Path>) threads::iterator) {
                // nanoseconds run, nanoseconds waited, time slices
                String[] figures =
                        Files.readString(thread.resolve("schedstat")).strip().split(" ");
                waits.put(thread.getFileName().toString(), Long.parseLong(figures[1]) / 1e9);
            }
        } catch (IOException | java.io.UncheckedIOException e) {
            // it, or a thread of it, has ended meanwhile
            return waits;
        }
        return waits;
    }

    /** Processor time of it since its start, in seconds; 0 where it has ended. */
    public double cpuSeconds() {
        return process.info()
                .totalCpuDuration()
                .map(spent -> spent.toMillis() / 1e3)
                .orElse(0.0);
    }

    /** Its peak memory in megabytes; 0 where it has ended. */
    public int peakMemory() {
        try (Stream<String> status = Files.lines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            return status.filter(line -> line.startsWith(PEAK))
                    .map(line -> line.substring(PEAK.length()).strip().split(" ")[0])
                    .mapToInt(kilobytes -> Integer.parseInt(kilobytes) >> 10)
                    .findFirst()
                    .orElse(0);
        } catch (IOException | java.io.UncheckedIOException e) {
            return 0;
        }
    }
}
