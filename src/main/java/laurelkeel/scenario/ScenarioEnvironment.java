package laurelkeel.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.BuildProfile;
import laurelkeel.testbed.EndpointListService;
import laurelkeel.testbed.LoadGenerator;
import laurelkeel.testbed.RolloutService;
import laurelkeel.testbed.SimulatedFleet;
import laurelkeel.testbed.SimulatedServer;

/** The stand-ins of one day on one thread, and the troubles that befall them. */
public final class ScenarioEnvironment implements AutoCloseable {
    private final Scenario plan;
    private final EventLoop loop = new EventLoop(RecordClock::nowTicks);
    private final Thread thread = new Thread(() -> loop.run(() -> false), "stand-ins");
    private final SplittableRandom random;
    private final SimulatedFleet fleet;
    private final EndpointListService list;
    private final RolloutService line;
    private final Consumer<TrafficRecord> records;
    private volatile Throwable failure;
    private LoadGenerator loadGenerator;
    private InetSocketAddress endpointListAddress, rolloutServiceAddress;

    public ScenarioEnvironment(Scenario plan, long seed, Consumer<TrafficRecord> records) throws IOException {
        this.plan = plan;
        this.records = records;
        this.random = new SplittableRandom(seed);
        Map<String, String> routes = new LinkedHashMap<>();
        plan.loadProfile().routes().forEach(r -> routes.put(r.path(), r.name()));
        fleet = new SimulatedFleet(loop, plan.serverProfile(), plan.zones(), routes, seed + 1, records);
        list = new EndpointListService(loop, fleet, plan.endpointListDelayTicks(), plan.endpointListCallsPerSecond());
        line = new RolloutService(
                loop, fleet, plan.rolloutPolicy(), plan.loadProfile().routes().size(), records);
        TrafficRecord.AuditParameters r = plan.auditParameters();
        records.accept(new TrafficRecord.AuditParameters(
                RecordClock.nowTicks(),
                r.routes(),
                r.drainGraceTicks(),
                r.exposureWindowTicks(),
                r.exposureAllowance(),
                r.exposurePerRoute(),
                r.guardedStages(),
                r.stickyKeys(),
                r.stageExposureCaps()));
    }

    /** Starts list, release line and the first machines on build 1. */
    public void start() {
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler((t, e) -> failure = e);
        thread.start();
        callOnLoop(() -> {
            endpointListAddress = list.start();
            rolloutServiceAddress =
                    line.start(plan.builds().getOrDefault(1, BuildProfile.healthy(1)), plan.serverCount());
            return null;
        });
    }

    public InetSocketAddress endpointListAddress() {
        return endpointListAddress;
    }

    public InetSocketAddress rolloutServiceAddress() {
        return rolloutServiceAddress;
    }

    /** Begins the load on the fronts. */
    public void startLoad(List<InetSocketAddress> fronts, long seed) {
        callOnLoop(() -> {
            loadGenerator = new LoadGenerator(loop, plan.loadProfile(), fronts, seed + 2, records);
            loadGenerator.start();
            return null;
        });
    }

    public LoadGenerator loadGenerator() {
        return loadGenerator;
    }

    /** Runs it on the stand-ins' thread and waits for it. */
    public <T> T callOnLoop(Supplier<T> what) {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.post(() -> {
            try {
                done.complete(what.get());
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        try {
            while (true) {
                try {
                    return done.get(1, java.util.concurrent.TimeUnit.SECONDS);
                } catch (java.util.concurrent.TimeoutException e) {
                    throwIfFailed();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a stand-in failed", e.getCause());
        }
    }

    /** Throws where the stand-ins' thread has died. */
    public void throwIfFailed() {
        if (failure != null) {
            throw new IllegalStateException("the stand-ins failed", failure);
        }
    }

    /** One line on where things are. */
    public String summary() {
        return callOnLoop(() -> String.format(
                "%s, %d machines, %d reqs out",
                line.standing(), fleet.live().size(), loadGenerator == null ? 0 : loadGenerator.openRequests()));
    }

    /** Stages reached so far, as "build 2 stage 1 trial". */
    public String stage() {
        return callOnLoop(() -> "build " + line.newest().number() + " stage " + line.stage() + " "
                + line.phase().storedName());
    }

    private List<SimulatedServer> some(int n) {
        List<SimulatedServer> from = new ArrayList<>(fleet.live());
        List<SimulatedServer> out = new ArrayList<>();
        while (out.size() < n && !from.isEmpty()) {
            out.add(from.remove(random.nextInt(from.size())));
        }
        return out;
    }

    /** Lets a trouble befall; those of fronts are not its matter. */
    public void apply(ScenarioFault t) {
        callOnLoop(() -> {
            long until = loop.nowTicks() + t.durationTicks();
            switch (t.kind()) {
                case OFFER -> line.offer(plan.builds().get(t.build()));
                case CRASH -> some(t.serverCount()).forEach(m -> crash(m, t));
                case HANG -> some(t.serverCount()).forEach(m -> m.fault(SimulatedServer.Fault.HANG, until, 1));
                case SLOW ->
                    some(t.serverCount()).forEach(m -> m.fault(SimulatedServer.Fault.SLOW, until, t.magnitude()));
                case LOSE_ANSWERS ->
                    some(t.serverCount()).forEach(m -> m.fault(SimulatedServer.Fault.LOSE_ANSWERS, until, 1));
                case RESET -> some(t.serverCount()).forEach(m -> m.fault(SimulatedServer.Fault.RESET, until, 1));
                case HALF -> some(t.serverCount()).forEach(m -> m.fault(SimulatedServer.Fault.HALF, until, 1));
                case REFUSE -> some(t.serverCount()).forEach(m -> m.fault(SimulatedServer.Fault.REFUSE, until, 1));
                case DRAIN ->
                    some(t.serverCount())
                            .forEach(m -> fleet.drain(m, plan.rolloutPolicy().maxDrainTicks()));
                case SLOW_ALL -> fleet.slowAll(t.magnitude(), until);
                case LIST_STALE -> list.stale(until);
                case LIST_DOWN -> list.down(until);
                case LINE_STALL -> line.stall(until);
                case LINE_LATE -> line.late(until, (long) t.magnitude());
                case BURST -> {
                    loadGenerator.burst(t.magnitude());
                    loop.schedule(until, () -> loadGenerator.burst(1));
                }
                case SHIFT -> {
                    loadGenerator.shift(t.nodeIndex(), t.magnitude());
                    loop.schedule(until, () -> loadGenerator.shift(t.nodeIndex(), 0));
                }
                case HOT_KEY -> {
                    loadGenerator.hotKey(t.magnitude());
                    loop.schedule(until, () -> loadGenerator.hotKey(0));
                }
                default -> {}
            }
            return null;
        });
    }

    private void crash(SimulatedServer m, ScenarioFault t) {
        fleet.kill(m);
        if (t.durationTicks() > 0) {
            BuildProfile again =
                    t.build() > 0 ? plan.builds().getOrDefault(t.build(), BuildProfile.healthy(t.build())) : m.build();
            loop.schedule(loop.nowTicks() + t.durationTicks(), () -> fleet.start(m.at(), again, m.cell(), true));
        }
    }

    @Override
    public void close() {
        callOnLoop(() -> {
            list.close();
            line.close();
            fleet.close();
            return null;
        });
        if (loadGenerator != null) {
            loadGenerator.close();
        }
        loop.stop();
    }
}
