package laurelkeel.front;

import java.util.LinkedHashMap;
import java.util.Map;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.PromotionPolicy;
import laurelkeel.front.FrontSettingsReader.EndpointListMode;
import laurelkeel.front.FrontSettingsReader.ValueBasis;
import laurelkeel.partition.PartitionedDecider.Attribution;
import laurelkeel.records.RecordTerms;

/**
 * Maps the names used in settings files, records and metric labels to the terms of the API. Those names are part of the
 * product's external interface and must not change. Names in messages of the control plane:
 * {@link laurelkeel.front.controlplane.ControlPlaneTerms}.
 */
public final class WireTerms {
    /** Values of {@code effect} in a route's section, in the order in which error messages list them. */
    static final Map<String, Idempotency> IDEMPOTENCY = orderedMap(
            Map.entry("retriable", Idempotency.IDEMPOTENT),
            Map.entry("deduped", Idempotency.DEDUPLICATED),
            Map.entry("non-retriable", Idempotency.NOT_IDEMPOTENT));

    /** Values of {@code group} in a route's section. */
    static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPE = orderedMap(
            Map.entry("all", DeduplicationScope.ALL),
            Map.entry("zone", DeduplicationScope.ZONE),
            Map.entry("cell", DeduplicationScope.CELL));

    /** Values of {@code control} in the rollout's section. */
    static final Map<String, PromotionPolicy> PROMOTION_POLICY = orderedMap(
            Map.entry("any", PromotionPolicy.FIRST_VOTE),
            Map.entry("count", PromotionPolicy.VOTE_COUNT),
            Map.entry("clock", PromotionPolicy.AUTOMATIC));

    /** Values of {@code mode} in the endpoint list's section. */
    static final Map<String, EndpointListMode> ENDPOINT_LIST_MODE =
            orderedMap(Map.entry("push", EndpointListMode.PUSH), Map.entry("ask", EndpointListMode.POLL));

    /** Values of {@code earnings-by} in the front node's section. */
    static final Map<String, ValueBasis> VALUE_BASIS =
            orderedMap(Map.entry("req", ValueBasis.REQUEST), Map.entry("work", ValueBasis.WORK));

    private WireTerms() {}

    @SafeVarargs
    private static <T> Map<String, T> orderedMap(Map.Entry<String, T>... entries) {
        Map<String, T> map = new LinkedHashMap<>();
        for (Map.Entry<String, T> entry : entries) {
            map.put(entry.getKey(), entry.getValue());
        }
        return map;
    }

    /** Returns the label of an attempt's outcome in {@code laurelkeel_outcomes_total}. */
    static String metricLabel(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED -> "completed";
            case FAILED -> "error";
            case OVERLOADED -> "full";
            case TIMED_OUT -> "timeout";
            case CONNECT_FAILED -> "no_connection";
            case CONNECTION_LOST -> "broken";
            case CANCELLED -> "stopped";
            case NOT_SENT -> "not_sent";
        };
    }

    /** Returns the label of a request's outcome in {@code laurelkeel_answers_total}. */
    static String metricLabel(RequestOutcome outcome) {
        return switch (outcome) {
            case COMPLETED -> "completed";
            case REJECTED -> "shed";
            case FAILED -> "errored";
            case CLIENT_DISCONNECTED -> "left";
        };
    }

    /** Returns the label of an attribution in {@code laurelkeel_blame_total}. */
    static String metricLabel(Attribution attribution) {
        return switch (attribution) {
            case NONE -> "none";
            case GUILTY -> "guilty";
            case CLEARED -> "cleared";
            case OPEN -> "open";
            case SET_ASIDE -> "set_aside";
        };
    }

    /** Returns the recorded form of an endpoint's state. */
    static RecordTerms.EndpointState recorded(EndpointState state) {
        return switch (state) {
            case ACTIVE -> RecordTerms.EndpointState.ACTIVE;
            case DRAINING -> RecordTerms.EndpointState.DRAINING;
            case REMOVED -> RecordTerms.EndpointState.REMOVED;
        };
    }

    /**
     * Returns the recorded form of an endpoint list's kind.
     *
     * @throws IllegalArgumentException for a failed fetch, which has no list to record
     */
    static RecordTerms.EndpointListKind recorded(EndpointListKind kind) {
        return switch (kind) {
            case DELTA -> RecordTerms.EndpointListKind.DELTA;
            case SNAPSHOT -> RecordTerms.EndpointListKind.SNAPSHOT;
            case CACHED -> RecordTerms.EndpointListKind.CACHED;
            case FAILED -> throw new IllegalArgumentException("a failed fetch has no list to record");
        };
    }

    /** Returns the recorded form of a rollout's phase. */
    static RecordTerms.RolloutPhase recorded(RolloutPhase phase) {
        return switch (phase) {
            case CANARY -> RecordTerms.RolloutPhase.CANARY;
            case ROLLING_BACK -> RecordTerms.RolloutPhase.ROLLING_BACK;
            case RELEASED -> RecordTerms.RolloutPhase.RELEASED;
            case ROLLED_BACK -> RecordTerms.RolloutPhase.ROLLED_BACK;
        };
    }

    /** Returns the recorded form of a route's idempotency. */
    public static RecordTerms.Idempotency recorded(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> RecordTerms.Idempotency.IDEMPOTENT;
            case DEDUPLICATED -> RecordTerms.Idempotency.DEDUPLICATED;
            case NOT_IDEMPOTENT -> RecordTerms.Idempotency.NOT_IDEMPOTENT;
        };
    }

    /** Returns the recorded form of the scope of a route's deduplication. */
    public static RecordTerms.DeduplicationScope recorded(DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> RecordTerms.DeduplicationScope.ALL;
            case ZONE -> RecordTerms.DeduplicationScope.ZONE;
            case CELL -> RecordTerms.DeduplicationScope.CELL;
        };
    }
}
