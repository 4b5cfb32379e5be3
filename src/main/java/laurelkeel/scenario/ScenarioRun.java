package laurelkeel.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import laurelkeel.audit.AuditReport;
import laurelkeel.audit.Auditor;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordReader;
import laurelkeel.records.RecordWriter;
import laurelkeel.records.TrafficRecord;

/** Plays one day from start to judgement. */
public final class ScenarioRun {

    private record Due(long at, Runnable what) {}

    private final Scenario plan;
    private final long seed;
    private final Path folder;
    private final PrintStream out;
    private final PriorityQueue<Due> due = new PriorityQueue<>(java.util.Comparator.comparingLong(Due::at));
    private List<FrontProcess> fronts = List.of();
    private RecordWriter clientSide, machineSide;
    private volatile boolean over;

    /** @param folder gets all records, settings and logs; what an earlier day left in it is removed */
    public ScenarioRun(Scenario plan, long seed, Path folder, PrintStream out) {
        this.plan = plan;
        this.seed = seed;
        this.folder = folder;
        this.out = out;
    }

    public AuditReport play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        clear();
        clientSide = new RecordWriter(folder.resolve("clients.jsonl"), false);
        machineSide = new RecordWriter(folder.resolve("machines.jsonl"), false);
        try (ScenarioEnvironment world = new ScenarioEnvironment(plan, seed, this::record)) {
            try {
                world.start();
                fronts = FrontProcess.prepare(plan, world, folder, seed);
                for (FrontProcess f : fronts) {
                    f.start();
                }
                for (FrontProcess f : fronts) {
                    f.awaitReady();
                }
                play(world);
            } finally {
                end();
            }
            AuditReport j = judge(world);
            String table = ScenarioReport.format(
                    plan, seed, world.loadGenerator().statistics(), RecordReader.readAll(folder), j);
            Files.writeString(folder.resolve("report.txt"), table);
            out.print(table);
            out.flush();
            return j;
        }
    }

    private AuditReport judge(ScenarioEnvironment world) throws IOException {
        // nothing is recorded from here on: what the stand-ins do as they close is no part of the day
        world.callOnLoop(() -> over = true);
        clientSide.close();
        machineSide.close();
        return Auditor.audit(folder);
    }

    private void clear() throws IOException {
        try (Stream<Path> old = Files.walk(folder)) {
            for (Path p : old.sorted(java.util.Comparator.reverseOrder()).toList()) {
                String n = p.getFileName().toString();
                boolean ours =
                        n.matches("(front-\\d+.*|clients|machines|report|list)(\\.(jsonl|ini|log|txt|json|new))*");
                if (!p.equals(folder) && ours) {
                    Files.delete(p);
                }
            }
        }
    }

    private void record(TrafficRecord r) {
        if (over) {
            return;
        }
        boolean client = r instanceof TrafficRecord.RequestSent
                || r instanceof TrafficRecord.ResponseReceived
                || r instanceof TrafficRecord.UnexpectedBytes
                || r instanceof TrafficRecord.ConnectionBroken
                || r instanceof TrafficRecord.ClientClosed;
        (client ? clientSide : machineSide).record(r);
    }

    private void play(ScenarioEnvironment world) {
        long start = RecordClock.nowTicks();
        out.printf(
                "day %s, seed %d: %d fronts, %d machines, %.0f reqs a second for %.0f s%n",
                plan.name(),
                seed,
                fronts.size(),
                plan.serverCount(),
                plan.loadProfile().requestsPerSecond(),
                plan.durationTicks() / 10_000.0);
        world.startLoad(fronts.stream().map(f -> f.at).toList(), seed);
        for (ScenarioFault t : plan.faults()) {
            due.add(new Due(start + t.startTicks(), () -> {
                out.printf("  %5.1f s  %s%n", (RecordClock.nowTicks() - start) / 10_000.0, t);
                befall(world, t);
            }));
        }
        for (long s = 5; s * 10_000 < plan.durationTicks(); s += 5) {
            due.add(new Due(
                    start + s * 10_000,
                    () -> out.printf("  %5.1f s  %s%n", (RecordClock.nowTicks() - start) / 10_000.0, world.summary())));
        }
        until(world, start + plan.durationTicks());
        world.callOnLoop(() -> {
            world.loadGenerator().stop();
            return null;
        });
        // what is out ends in its clients' time; what fronts are still to be back is awaited too
        long latest = RecordClock.nowTicks()
                + 10_000
                + plan.loadProfile().routes().stream()
                        .mapToLong(r -> r.timeoutTicks())
                        .max()
                        .orElse(0);
        while (RecordClock.nowTicks() < latest
                && world.callOnLoop(() -> world.loadGenerator().openRequests()) > 0) {
            until(world, RecordClock.nowTicks() + 500);
        }
    }

    private void until(ScenarioEnvironment world, long end) {
        while (RecordClock.nowTicks() < end) {
            world.throwIfFailed();
            while (!due.isEmpty() && due.peek().at <= RecordClock.nowTicks()) {
                due.poll().what.run();
            }
            long next = due.isEmpty() ? end : Math.min(end, due.peek().at);
            LockSupport.parkNanos(Math.max(1, Math.min(1000, next - RecordClock.nowTicks())) * 100_000);
        }
    }

    private void befall(ScenarioEnvironment world, ScenarioFault t) {
        boolean kill = t.kind() == ScenarioFault.Kind.KILL_FRONT;
        if (!kill && t.kind() != ScenarioFault.Kind.STOP_FRONT) {
            world.apply(t);
            return;
        }
        FrontProcess f = fronts.get(t.nodeIndex());
        if (kill) {
            record(new TrafficRecord.NodeStopped(RecordClock.nowTicks(), f.number, true));
            f.kill();
        } else {
            f.terminate();
        }
        due.add(new Due(RecordClock.nowTicks() + t.durationTicks(), () -> again(f, 0)));
    }

    private void again(FrontProcess f, int waited) {
        try {
            // a front that drains still holds its port
            if (f.running() && waited < 60) {
                due.add(new Due(RecordClock.nowTicks() + 5_000, () -> again(f, waited + 1)));
            } else {
                f.start();
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void end() throws InterruptedException {
        for (FrontProcess f : fronts) {
            f.terminate();
        }
        List<Integer> codes = new ArrayList<>();
        for (FrontProcess f : fronts) {
            codes.add(f.awaitEnd(40));
        }
        if (codes.stream().anyMatch(c -> c == null || (c != 0 && c != 143))) {
            out.println("  fronts ended with " + codes + "; see their logs in " + folder);
        }
    }
}
