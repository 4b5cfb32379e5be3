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
 * Translates between the names used in control plane messages and in the stored endpoint list and the terms of the API.
 * The external names are part of the product's interface and must not change.
 */
public final class ControlPlaneTerms {
    /** The kind of a heartbeat line, which carries no data. */
    static final String HEARTBEAT = "beat";

    /** The kind of a line with the statistics of a build. */
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
     * Parses the kind of an endpoint list.
     *
     * @throws InvalidMessageException if the kind is missing or unknown
     */
    static EndpointListKind listKind(@Nullable String name) throws InvalidMessageException {
        EndpointListKind kind = name == null ? null : LIST_KINDS.get(name);
        if (kind == null) {
            throw new InvalidMessageException("unknown kind '" + name + "'");
        }
        return kind;
    }

    /** Parses an endpoint's state, ignoring case; returns null if it is unknown. */
    static @Nullable EndpointState endpointState(String name) {
        return ENDPOINT_STATES.get(normalized(name));
    }

    /** Returns the name of an endpoint's state in messages and in the stored list. */
    static String name(EndpointState state) {
        return switch (state) {
            case ACTIVE -> "live";
            case DRAINING -> "draining";
            case REMOVED -> "gone";
        };
    }

    /**
     * Parses the phase of a rollout.
     *
     * @throws InvalidMessageException if the phase is missing or unknown
     */
    static RolloutPhase phase(@Nullable String name) throws InvalidMessageException {
        RolloutPhase phase = name == null ? null : PHASES.get(name);
        if (phase == null) {
            throw new InvalidMessageException("unknown phase '" + name + "'");
        }
        return phase;
    }

    /** Parses the status in the response to a vote; a missing or unknown one counts as failed. */
    static ControlStatus controlStatus(@Nullable String name) {
        return name == null ? ControlStatus.FAILED : CONTROL_STATUSES.getOrDefault(name, ControlStatus.FAILED);
    }

    /** Parses what a build's regression is attributed to, ignoring case; returns null if the name is unknown. */
    static @Nullable Attribution attribution(String name) {
        return ATTRIBUTIONS.get(normalized(name));
    }

    /** Returns the name of a verdict in vote messages and in the label of the votes metric. */
    public static String name(Verdict verdict) {
        return switch (verdict) {
            case NONE -> "none";
            case PROMOTE -> "on";
            case HOLD -> "hold";
            case ROLL_BACK -> "back";
        };
    }
}
