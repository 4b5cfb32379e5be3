package laurelkeel.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.LoadReport;
import laurelkeel.decision.RoutingDecider;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time that the decider alone needs for one request: one call with the request and one with the outcome of
 * its attempt. On the decider's clock, 500 requests arrive a second.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@SuppressWarnings("NullAway.Init") // JMH sets the parameters and calls the setup method first
public class DecisionBenchmark {
    private static final int CANARY_INTERVAL = 10;
    private static final int PARTITION_KEYS = 5_000;
    private static final long STEP_TICKS = 10;
    private static final long TIMEOUT_TICKS = 20_000;

    /** The state of the rollout. The names of the constants appear in JMH's results. */
    public enum RolloutCase {
        /** All endpoints run one build. */
        RELEASED,
        /** A tenth of the endpoints runs a canary build; no endpoint is warming up. */
        TRIAL
    }

    /** The number of endpoints. The field's name appears in JMH's results. */
    @Param({"10", "300", "1000"})
    public int machines;

    /** The state of the rollout. The field's name appears in JMH's results. */
    @Param({"RELEASED", "TRIAL"})
    public RolloutCase when;

    private RoutingDecider decider;
    private long nowTicks;
    private long nextId;

    /** Creates a decider and passes it the endpoints and the rollout. */
    @Setup
    public void setUp() {
        boolean canary = when == RolloutCase.TRIAL;
        decider = new RoutingDecider(DeciderSettings.forSingleDecider(), 1);
        nowTicks = 1_000_000;
        List<EndpointEntry> endpoints = new ArrayList<>();
        for (int i = 0; i < machines; i++) {
            int build = canary && i % CANARY_INTERVAL == 0 ? 2 : 1;
            endpoints.add(new EndpointEntry(
                    "10.0." + i / 250 + "." + i % 250 + ":80", build, i % 3, i % 3, 0, 1, EndpointState.ACTIVE, 0));
        }
        Event.RolloutUpdate rollout = canary
                ? new Event.RolloutUpdate(Event.ControlStatus.OK, 0, 0.1, 0, RolloutPhase.CANARY, 2, false)
                : new Event.RolloutUpdate(Event.ControlStatus.OK, 0, 1, 0, RolloutPhase.RELEASED, 1, false);
        decider.decide(
                nowTicks, List.of(new Event.EndpointListUpdate(Event.EndpointListKind.SNAPSHOT, endpoints), rollout));
    }

    /**
     * Handles one request and its attempts. The method's name appears in JMH's results.
     *
     * @return the number of attempts sent
     */
    @Benchmark
    public int req() {
        nowTicks += STEP_TICKS;
        String requestId = "r" + nextId++;
        int sent = 0;
        for (Action action : decider.decide(nowTicks, List.of(request(requestId)))) {
            if (action instanceof Action.SendAttempt send) {
                sent++;
                nowTicks += STEP_TICKS;
                decider.decide(nowTicks, List.of(completed(send)));
            }
        }
        return sent;
    }

    private Event.RequestReceived request(String requestId) {
        int route = (int) (nextId & 1);
        return new Event.RequestReceived(
                requestId, route, 0, "k" + nextId % PARTITION_KEYS, nowTicks + TIMEOUT_TICKS, 0, false);
    }

    private static Event.AttemptEnded completed(Action.SendAttempt send) {
        return new Event.AttemptEnded(
                send.requestId(), 0, send.endpointId(), AttemptOutcome.COMPLETED, STEP_TICKS, true, LoadReport.NONE);
    }
}
