package laurelkeel.front.controlplane;

import java.util.Locale;
import java.util.Map;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.jspecify.annotations.Nullable;

/**
 * Maps the names that stand in messages of the control plane and in the stored endpoint list to the terms of the API.
 * Those names are part of the product's interface and stay as they are.
 */
public final class ControlPlaneTerms {
    /** The kind of a line that only shows that the service lives. */
    static final String HEARTBEAT = "beat";

    /** The kind of a line with statistics of a build. */
    static final String STATISTICS = "counts";

    private static final Map<String, EndpointListKind> LIST_KINDS =
            Map.of("full", EndpointListKind.SNAPSHOT, "changes", EndpointListKind.DELTA);

    private static final Map<String, EndpointState> ENDPOINT_STATES =
            Map.of("live", EndpointState.ACTIVE, "draining", EndpointState.DRAINING, "gone", EndpointState.REMOVED);

    private static final Map<String, RolloutPhase> PHASES = Map.of(
            "trial", RolloutPhase.CANARY,
            "going-back", RolloutPhase.ROLLING_BACK,
            "released", RolloutPhase.RELEASED,
            "withdrawn", RolloutPhase.ROLLED_BACK);

    private static final Map<String, ControlStatus> CONTROL_STATUSES = Map.of(
            "ok", ControlStatus.OK,
            "moot", ControlStatus.STALE,
            "over-limit", ControlStatus.RATE_LIMITED,
            "timeout", ControlStatus.TIMED_OUT);

    private static final Map<String, Attribution> ATTRIBUTIONS = Map.of(
            "none", Attribution.NONE,
            "open", Attribution.OPEN,
            "cleared", Attribution.CLEARED,
            "guilty", Attribution.GUILTY,
            "set-aside", Attribution.SET_ASIDE);

    private ControlPlaneTerms() {}

    private static String normalized(String name) {
        return name.toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Reads the kind of an endpoint list.
     *
     * @throws InvalidMessageException where the kind is missing or unknown
     */
    static EndpointListKind listKind(@Nullable String name) throws InvalidMessageException {
        EndpointListKind kind = name == null ? null : LIST_KINDS.get(name);
        if (kind == null) {
            throw new InvalidMessageException("kind is '" + name + "'");
        }
        return kind;
    }

    /** Reads an endpoint's state; null where it is unknown. */
    static @Nullable EndpointState endpointState(String name) {
        return ENDPOINT_STATES.get(normalized(name));
    }

    /** An endpoint's state as messages and the stored list name it. */
    static String name(EndpointState state) {
        return switch (state) {
            case ACTIVE -> "live";
            case DRAINING -> "draining";
            case REMOVED -> "gone";
        };
    }

    /**
     * Reads the phase of a rollout.
     *
     * @throws InvalidMessageException where the phase is missing or unknown
     */
    static RolloutPhase phase(@Nullable String name) throws InvalidMessageException {
        RolloutPhase phase = name == null ? null : PHASES.get(name);
        if (phase == null) {
            throw new InvalidMessageException("phase is '" + name + "'");
        }
        return phase;
    }

    /** Reads the answer to a vote; one that is missing or not known counts as failed. */
    static ControlStatus controlStatus(@Nullable String name) {
        return name == null ? ControlStatus.FAILED : CONTROL_STATUSES.getOrDefault(name, ControlStatus.FAILED);
    }

    /** Reads what a build's regression is attributed to; null where the name is unknown. */
    static @Nullable Attribution attribution(String name) {
        return ATTRIBUTIONS.get(normalized(name));
    }

    /** The verdict of a vote as it is written in a ballot and in the label of the metric of votes. */
    public static String name(Verdict verdict) {
        return switch (verdict) {
            case NONE -> "none";
            case PROMOTE -> "on";
            case HOLD -> "hold";
            case ROLL_BACK -> "back";
        };
    }
}
