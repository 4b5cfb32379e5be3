package laurelkeel.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
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
import org.jspecify.annotations.Nullable;

/**
 * The test bed of one scenario, with all its parts on one event loop thread. Methods run their work on that thread and
 * wait for it, so they must be called on another thread, and by one thread at a time.
 */
public final class ScenarioEnvironment implements AutoCloseable {
    private static final int FIRST_BUILD = 1;
    /** Interval at which a waiting caller checks whether the loop's thread has failed. */
    private static final long LIVENESS_CHECK_SECONDS = 1;

    private final Scenario scenario;
    private final EventLoop loop = new EventLoop(RecordClock::nowTicks);
    private final Thread thread = new Thread(() -> loop.run(() -> false), "test-bed");
    private final SimulatedFleet fleet;
    private final EndpointListService endpointList;
    private final RolloutService rolloutService;
    private final FaultInjector faultInjector;
    private final Consumer<TrafficRecord> records;
    private volatile @Nullable Throwable failure;
    private @Nullable LoadGenerator loadGenerator;
    private @Nullable InetSocketAddress endpointListAddress;
    private @Nullable InetSocketAddress rolloutServiceAddress;

    /**
     * Creates a test bed that has not started.
     *
     * @throws IOException if no port can be opened
     */
    public ScenarioEnvironment(Scenario scenario, long seed, Consumer<TrafficRecord> records) throws IOException {
        this.scenario = scenario;
        this.records = records;
        Map<String, String> routesByPath = new LinkedHashMap<>();
        scenario.loadProfile().routes().forEach(route -> routesByPath.put(route.path(), route.name()));
        fleet = new SimulatedFleet(loop, scenario.serverProfile(), scenario.zones(), routesByPath, seed + 1, records);
        endpointList = new EndpointListService(
                loop, fleet, scenario.endpointListDelayTicks(), scenario.endpointListCallsPerSecond());
        rolloutService = new RolloutService(
                loop,
                fleet,
                scenario.rolloutPolicy(),
                scenario.loadProfile().routes().size(),
                records);
        faultInjector = new FaultInjector(scenario, loop, seed, fleet, endpointList, rolloutService);
        records.accept(scenario.auditParameters(RecordClock.nowTicks()));
    }

    /** Starts both services and the initial servers, with build 1. */
    public void start() {
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler((failed, cause) -> failure = cause);
        thread.start();
        runOnLoop(() -> {
            endpointListAddress = endpointList.start();
            rolloutServiceAddress = rolloutService.start(
                    scenario.builds().getOrDefault(FIRST_BUILD, BuildProfile.healthy(FIRST_BUILD)),
                    scenario.serverCount());
        });
    }

    /** Returns the address of the endpoint list service. */
    public InetSocketAddress endpointListAddress() {
        return requireStarted(endpointListAddress);
    }

    /** Returns the address of the rollout service. */
    public InetSocketAddress rolloutServiceAddress() {
        return requireStarted(rolloutServiceAddress);
    }

    private static <T> T requireStarted(@Nullable T part) {
        if (part == null) {
            throw new IllegalStateException("the test bed or its load has not started");
        }
        return part;
    }

    /** Starts the load on the nodes. */
    public void startLoad(List<InetSocketAddress> nodeAddresses, long seed) {
        runOnLoop(() -> {
            LoadGenerator started = new LoadGenerator(loop, scenario.loadProfile(), nodeAddresses, seed + 2, records);
            loadGenerator = started;
            started.start();
        });
    }

    /** Returns the load generator, whose methods must be called through {@link #callOnLoop}. */
    public LoadGenerator loadGenerator() {
        return requireStarted(loadGenerator);
    }

    /** Runs a task on the loop's thread and waits for it. */
    public void runOnLoop(Runnable task) {
        callOnLoop(() -> {
            task.run();
            return true;
        });
    }

    /**
     * Makes a call on the loop's thread and waits for the result.
     *
     * @throws IllegalStateException if the call or the thread fails
     */
    public <T> T callOnLoop(Supplier<T> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> {
            try {
                result.complete(call.get());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        try {
            while (true) {
                try {
                    return result.get(LIVENESS_CHECK_SECONDS, TimeUnit.SECONDS);
                } catch (TimeoutException e) {
                    throwIfFailed();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a call on the test bed's thread failed", e.getCause());
        }
    }

    /** Throws an IllegalStateException if the loop's thread has ended with an exception. */
    public void throwIfFailed() {
        if (failure != null) {
            throw new IllegalStateException("the test bed's thread ended with an exception", failure);
        }
    }

    /** Returns the state of rollouts and the numbers of servers and open requests in one line. */
    public String summary() {
        return callOnLoop(() -> String.format(
                "%s, %d machines, %d reqs out",
                rolloutService.summary(),
                fleet.activeServers().size(),
                loadGenerator == null ? 0 : loadGenerator.openRequests()));
    }

    /** Applies a fault of servers, services or load; faults of nodes have no effect here. */
    public void apply(ScenarioFault fault) {
        runOnLoop(() -> {
            faultInjector.applyToServers(fault);
            if (loadGenerator != null) {
                faultInjector.applyToLoad(fault, loadGenerator);
            }
        });
    }

    @Override
    public void close() {
        runOnLoop(() -> {
            endpointList.close();
            rolloutService.close();
            fleet.close();
        });
        if (loadGenerator != null) {
            loadGenerator.close();
        }
        loop.stop();
    }
}
