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
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.Route;
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
 * What one req costs the decider alone, from its arrival to its answer: two calls, one with the req and one with the
 * outcome of its try. 500 reqs a second, as the decider's clock has it.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class DecisionBenchmark {
    private static final long MS = 10;

    /** released: all on one build; trial: a tenth of the machines on a build on trial, all warm. */
    public enum When {
        RELEASED,
        TRIAL
    }

    @Param({"10", "300", "1000"})
    public int machines;

    @Param({"RELEASED", "TRIAL"})
    public When when;

    private RoutingDecider shifter;
    private long now, ids;

    @Setup
    public void begin() {
        List<Route> routes = List.of(
                new Route(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 800 * MS, 2500 * MS, 2, 0, 0),
                new Route(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 1000 * MS, 3000 * MS, 1, 0, 0));
        Settings set = new Settings(
                0,
                4,
                0,
                routes,
                List.of(),
                new Settings.Limits(10_000, 50_000, 0.4, 20_000, 3, 100_000),
                new Settings.Capabilities(4, true, false, true, true, 10_000, false),
                new Settings.Costs(0.05, 0.01, 0.01, 0.5, 3),
                new Settings.Rollout(
                        Settings.PromotionPolicy.VOTE_COUNT,
                        2,
                        2,
                        0,
                        60_000,
                        10_000,
                        40,
                        List.of(0.1, 1.0),
                        20_000,
                        0,
                        true,
                        40_000,
                        2,
                        false,
                        0,
                        0.3),
                false);
        shifter = new RoutingDecider(set, 1);
        now = 1_000_000;
        List<EndpointEntry> list = new ArrayList<>();
        for (int i = 0; i < machines; i++) {
            int build = when == When.TRIAL && i % 10 == 0 ? 2 : 1;
            list.add(new EndpointEntry(
                    "10.0." + i / 250 + "." + i % 250 + ":80", build, i % 3, i % 3, 0, 1, EndpointState.ACTIVE, 0));
        }
        boolean trial = when == When.TRIAL;
        shifter.decide(
                now,
                List.of(
                        new Event.EndpointListUpdate(Event.EndpointListKind.SNAPSHOT, list),
                        new Event.RolloutUpdate(
                                Event.ControlStatus.OK,
                                0,
                                trial ? 0.1 : 1,
                                0,
                                trial ? RolloutPhase.CANARY : RolloutPhase.RELEASED,
                                trial ? 2 : 1,
                                false)));
    }

    @Benchmark
    public int req() {
        now += 10;
        String id = "r" + ids++;
        int sent = 0;
        for (Action a : shifter.decide(
                now,
                List.of(new Event.RequestReceived(id, (int) (ids & 1), 0, "k" + ids % 5000, now + 20_000, 0, false)))) {
            if (a instanceof Action.SendAttempt s) {
                sent++;
                now += 10;
                shifter.decide(
                        now,
                        List.of(new Event.AttemptEnded(
                                id, 0, s.endpointId(), AttemptOutcome.COMPLETED, 10, true, LoadReport.NONE)));
            }
        }
        return sent;
    }
}
