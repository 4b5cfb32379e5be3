package laurelkeel.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import laurelkeel.audit.AuditReport;
import laurelkeel.audit.Auditor;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordReader;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.LoadRoute;

/** Runs one scenario, including the audit at its end. Not thread-safe; each instance runs once. */
public final class ScenarioRun {
    private static final long SUMMARY_INTERVAL_SECONDS = 5;
    private static final long NODE_EXIT_TIMEOUT_SECONDS = 40;
    private static final long SETTLE_TICKS = 10_000;
    private static final long SETTLE_CHECK_TICKS = 500;
    private static final long MAX_SLEEP_TICKS = 1000;
    private static final long NANOS_PER_TICK = 100_000;
    private static final long RESTART_CHECK_TICKS = 5_000;
    private static final int MAX_RESTART_CHECKS = 60;
    private static final int EXIT_OK = 0;
    private static final int EXIT_TERMINATED = 143;
    private static final Pattern OUTPUT_FILES =
            Pattern.compile("(front-\\d+.*|clients|machines|report|list)(\\.(jsonl|ini|log|txt|json|new))*");

    private record DueTask(long dueTicks, Runnable task) {}

    private final Scenario scenario;
    private final long seed;
    private final Path folder;
    private final PrintStream out;
    private final PriorityQueue<DueTask> tasks = new PriorityQueue<>(Comparator.comparingLong(DueTask::dueTicks));
    private List<ScenarioNodeProcess> nodes = List.of();

    /**
     * Creates a run that has not started.
     *
     * @param folder receives all records, settings and logs; those of an earlier run are removed
     * @param out receives the progress and the report
     */
    public ScenarioRun(Scenario scenario, long seed, Path folder, PrintStream out) {
        this.scenario = scenario;
        this.seed = seed;
        this.folder = folder;
        this.out = out;
    }

    /**
     * Runs the scenario and audits its records.
     *
     * @throws IOException if a node does not start or a file cannot be written
     */
    public AuditReport run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        deleteEarlierOutput();
        ScenarioRecorder recorder = new ScenarioRecorder(folder);
        try (ScenarioEnvironment environment = new ScenarioEnvironment(scenario, seed, recorder::record)) {
            try {
                environment.start();
                startNodes(environment);
                runEvents(environment, recorder);
            } finally {
                stopNodes();
            }
            // actions of the test bed while it closes are not part of the scenario
            environment.runOnLoop(recorder::end);
            recorder.close();
            return report(environment);
        }
    }

    private AuditReport report(ScenarioEnvironment environment) throws IOException {
        AuditReport report = Auditor.audit(folder);
        String text = ScenarioReport.format(
                scenario, seed, environment.loadGenerator().statistics(), RecordReader.readAll(folder), report);
        Files.writeString(folder.resolve("report.txt"), text);
        out.print(text);
        out.flush();
        return report;
    }

    private void deleteEarlierOutput() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                String name = String.valueOf(file.getFileName());
                if (!file.equals(folder) && OUTPUT_FILES.matcher(name).matches()) {
                    Files.delete(file);
                }
            }
        }
    }

    private void startNodes(ScenarioEnvironment environment) throws IOException {
        nodes = new NodeProcessFactory(scenario, environment, folder, seed).prepareAll();
        for (ScenarioNodeProcess node : nodes) {
            node.start();
        }
        for (ScenarioNodeProcess node : nodes) {
            node.awaitReady();
        }
    }

    private void runEvents(ScenarioEnvironment environment, ScenarioRecorder recorder) {
        long startTicks = RecordClock.nowTicks();
        out.printf(
                "day %s, seed %d: %d fronts, %d machines, %.0f reqs a second for %.0f s%n",
                scenario.name(),
                seed,
                nodes.size(),
                scenario.serverCount(),
                scenario.loadProfile().requestsPerSecond(),
                scenario.durationTicks() / (double) RecordClock.TICKS_PER_SECOND);
        environment.startLoad(nodes.stream().map(node -> node.address).toList(), seed);
        for (ScenarioFault fault : scenario.faults()) {
            tasks.add(new DueTask(startTicks + fault.startTicks(), () -> {
                printProgress(startTicks, fault.toString());
                apply(environment, recorder, fault);
            }));
        }
        long summaryTicks = SUMMARY_INTERVAL_SECONDS * RecordClock.TICKS_PER_SECOND;
        for (long atTicks = summaryTicks; atTicks < scenario.durationTicks(); atTicks += summaryTicks) {
            tasks.add(new DueTask(startTicks + atTicks, () -> printProgress(startTicks, environment.summary())));
        }
        runTasksUntil(environment, startTicks + scenario.durationTicks());
        environment.runOnLoop(() -> environment.loadGenerator().stop());
        awaitOpenRequests(environment);
    }

    private void printProgress(long startTicks, String text) {
        double seconds = (RecordClock.nowTicks() - startTicks) / (double) RecordClock.TICKS_PER_SECOND;
        out.printf("  %5.1f s  %s%n", seconds, text);
    }

    /**
     * Waits for open requests, which end by their deadlines, up to a time limit. Due restarts of nodes still take
     * place.
     */
    private void awaitOpenRequests(ScenarioEnvironment environment) {
        long maxTimeoutTicks = scenario.loadProfile().routes().stream()
                .mapToLong(LoadRoute::timeoutTicks)
                .max()
                .orElse(0);
        long latestTicks = RecordClock.nowTicks() + SETTLE_TICKS + maxTimeoutTicks;
        while (RecordClock.nowTicks() < latestTicks
                && environment.callOnLoop(() -> environment.loadGenerator().openRequests()) > 0) {
            runTasksUntil(environment, RecordClock.nowTicks() + SETTLE_CHECK_TICKS);
        }
    }

    private void runTasksUntil(ScenarioEnvironment environment, long endTicks) {
        while (RecordClock.nowTicks() < endTicks) {
            environment.throwIfFailed();
            DueTask next = tasks.peek();
            while (next != null && next.dueTicks <= RecordClock.nowTicks()) {
                tasks.remove();
                next.task.run();
                next = tasks.peek();
            }
            long wakeTicks = next == null ? endTicks : Math.min(endTicks, next.dueTicks);
            long sleepTicks = Math.min(MAX_SLEEP_TICKS, wakeTicks - RecordClock.nowTicks());
            LockSupport.parkNanos(Math.max(1, sleepTicks) * NANOS_PER_TICK);
        }
    }

    private void apply(ScenarioEnvironment environment, ScenarioRecorder recorder, ScenarioFault fault) {
        switch (fault.kind()) {
            case KILL_NODE -> {
                ScenarioNodeProcess node = nodes.get(fault.nodeIndex());
                recorder.record(new TrafficRecord.NodeStopped(RecordClock.nowTicks(), node.nodeIndex, true));
                node.kill();
                restartAfter(node, fault.durationTicks());
            }
            case STOP_NODE -> {
                ScenarioNodeProcess node = nodes.get(fault.nodeIndex());
                node.terminate();
                restartAfter(node, fault.durationTicks());
            }
            default -> environment.apply(fault);
        }
    }

    private void restartAfter(ScenarioNodeProcess node, long delayTicks) {
        tasks.add(new DueTask(RecordClock.nowTicks() + delayTicks, () -> restart(node, 0)));
    }

    /** Restarts a node. A process that still drains holds the port, so the restart is postponed until it has ended. */
    private void restart(ScenarioNodeProcess node, int checks) {
        if (node.isRunning() && checks < MAX_RESTART_CHECKS) {
            tasks.add(new DueTask(RecordClock.nowTicks() + RESTART_CHECK_TICKS, () -> restart(node, checks + 1)));
            return;
        }
        try {
            node.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void stopNodes() throws InterruptedException {
        nodes.forEach(ScenarioNodeProcess::terminate);
        List<String> exitCodes = new ArrayList<>();
        boolean allExitedNormally = true;
        for (ScenarioNodeProcess node : nodes) {
            OptionalInt exitCode = node.awaitExit(NODE_EXIT_TIMEOUT_SECONDS);
            exitCodes.add(exitCode.isPresent() ? Integer.toString(exitCode.getAsInt()) : "null");
            allExitedNormally &= isExpected(exitCode);
        }
        if (!allExitedNormally) {
            out.println("  fronts ended with " + exitCodes + "; see their logs in " + folder);
        }
    }

    private static boolean isExpected(OptionalInt exitCode) {
        return exitCode.isPresent() && (exitCode.getAsInt() == EXIT_OK || exitCode.getAsInt() == EXIT_TERMINATED);
    }
}
