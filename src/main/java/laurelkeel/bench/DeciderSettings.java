package laurelkeel.bench;

import java.util.List;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.Route;
import laurelkeel.api.Ticks;

/** Settings of the deciders under measurement. */
final class DeciderSettings {
    private static final long SECOND = Ticks.PER_SECOND;
    private static final long MILLISECOND = Ticks.PER_MILLISECOND;

    private static final Route IDEMPOTENT_ROUTE =
            new Route(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 800 * MILLISECOND, 2500 * MILLISECOND, 2, 0, 0);
    private static final Route DEDUPLICATED_ROUTE =
            new Route(Idempotency.DEDUPLICATED, DeduplicationScope.ALL, SECOND, 4 * SECOND, 3, 0.2, 5 * SECOND);
    private static final Route NOT_IDEMPOTENT_ROUTE =
            new Route(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, SECOND, 3 * SECOND, 1, 0, 0);

    private DeciderSettings() {}

    /**
     * Returns the settings of one of four nodes with routes of all kinds of idempotency and rollouts in three stages.
     */
    static Settings forStreams(boolean exposurePerRoute) {
        return settings(
                4,
                List.of(IDEMPOTENT_ROUTE, DEDUPLICATED_ROUTE, NOT_IDEMPOTENT_ROUTE),
                List.of(new Settings.Tenant(500)),
                0.05,
                rollout(2, 6 * SECOND, List.of(0.1, 0.4, 1.0), exposurePerRoute));
    }

    /** Returns the settings of one of four nodes with two routes and rollouts in two stages. */
    static Settings forSingleDecider() {
        return settings(
                4,
                List.of(IDEMPOTENT_ROUTE, NOT_IDEMPOTENT_ROUTE),
                List.of(),
                0.05,
                rollout(2, 6 * SECOND, List.of(0.1, 1.0), false));
    }

    /** Returns the settings of one of many nodes with one route and rollouts in two stages. */
    static Settings forPartitions() {
        return settings(170, List.of(IDEMPOTENT_ROUTE), List.of(), 0, rollout(1, 5 * SECOND, List.of(0.1, 1.0), false));
    }

    private static Settings settings(
            int nodeCount,
            List<Route> routes,
            List<Settings.Tenant> tenants,
            double crossZoneCost,
            Settings.Rollout rollout) {
        return new Settings(
                0,
                nodeCount,
                0,
                routes,
                tenants,
                new Settings.Limits(SECOND, 5 * SECOND, 0.4, 2 * SECOND, 3, 10 * SECOND),
                new Settings.Capabilities(4, true, false, true, true, SECOND, false),
                new Settings.Costs(crossZoneCost, 0.01, 0.01, 0.5, 3),
                rollout,
                false);
    }

    private static Settings.Rollout rollout(
            int votes, long voteLifetimeTicks, List<Double> stageExposureCaps, boolean exposurePerRoute) {
        return new Settings.Rollout(
                Settings.PromotionPolicy.VOTE_COUNT,
                votes,
                votes,
                0,
                voteLifetimeTicks,
                SECOND,
                40,
                stageExposureCaps,
                2 * SECOND,
                0,
                true,
                4 * SECOND,
                2,
                exposurePerRoute,
                0,
                0.3);
    }
}
