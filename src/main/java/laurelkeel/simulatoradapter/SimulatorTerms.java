package laurelkeel.simulatoradapter;

import java.util.List;
import java.util.Map;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;

/** Maps the names and numbers of the simulator's protocol to the enumerations of {@code laurelkeel.api} and back. */
final class SimulatorTerms {
    /** Values of {@code status} in {@code returned} and {@code pong}. */
    static final Map<String, AttemptOutcome> ATTEMPT_OUTCOMES = Map.of(
            "OK",
            AttemptOutcome.COMPLETED,
            "INTERNAL",
            AttemptOutcome.FAILED,
            "RESOURCE_EXHAUSTED",
            AttemptOutcome.OVERLOADED,
            "DEADLINE_EXCEEDED",
            AttemptOutcome.TIMED_OUT,
            "UNAVAILABLE",
            AttemptOutcome.CONNECT_FAILED,
            "ABORTED",
            AttemptOutcome.CONNECTION_LOST,
            "CANCELLED",
            AttemptOutcome.CANCELLED,
            "TOO_LATE",
            AttemptOutcome.NOT_SENT);

    /** Values of {@code status} in {@code release_state}. */
    static final Map<String, ControlStatus> CONTROL_STATUSES = Map.of(
            "OK",
            ControlStatus.OK,
            "TOO_LATE",
            ControlStatus.STALE,
            "RESOURCE_EXHAUSTED",
            ControlStatus.RATE_LIMITED,
            "INTERNAL",
            ControlStatus.FAILED,
            "DEADLINE_EXCEEDED",
            ControlStatus.TIMED_OUT);

    /** Values of {@code how} in {@code membership}. */
    static final Map<String, EndpointListKind> LIST_KINDS = Map.of(
            "D", EndpointListKind.DELTA,
            "F", EndpointListKind.SNAPSHOT,
            "C", EndpointListKind.CACHED,
            "X", EndpointListKind.FAILED);

    /** Values of {@code status} in an {@code item} of a {@code pool}. */
    static final Map<String, EndpointState> ENDPOINT_STATES =
            Map.of("live", EndpointState.ACTIVE, "quiescing", EndpointState.DRAINING, "dead", EndpointState.REMOVED);

    /** The phases, indexed by their numbers in {@code whereAt} of {@code release_state}. */
    static final List<RolloutPhase> PHASES =
            List.of(RolloutPhase.CANARY, RolloutPhase.ROLLING_BACK, RolloutPhase.RELEASED, RolloutPhase.ROLLED_BACK);

    private SimulatorTerms() {}

    /** Returns the number of a verdict, which is the field {@code sense} of {@code say_so}. */
    static int verdictNumber(Verdict verdict) {
        return switch (verdict) {
            case NONE -> 0;
            case PROMOTE -> 1;
            case HOLD -> 2;
            case ROLL_BACK -> 3;
        };
    }
}
