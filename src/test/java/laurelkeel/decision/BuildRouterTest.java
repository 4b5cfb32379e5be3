package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.endpoint;
import static laurelkeel.decision.DecisionFixtures.request;
import static laurelkeel.decision.DecisionFixtures.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.PromotionPolicy;
import laurelkeel.api.Settings.Rollout;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class BuildRouterTest {
    private static final int STABLE = 1;
    private static final int CANARY = 2;
    private static final int NONE = -1;

    /** Without active endpoints, the canary and the stable build depend on the announcements only. */
    private static final BuildCapacities NO_CAPACITIES = new BuildCapacities() {
        @Override
        public Collection<Integer> activeBuilds() {
            return List.of();
        }

        @Override
        public int newestActiveBuild() {
            return NONE;
        }

        @Override
        public double currentCapacity(int build, long nowTicks) {
            return 0;
        }
    };

    private final Rollout settings =
            DecisionSimulation.settings(false, 0, PromotionPolicy.FIRST_VOTE).rollout();
    private final RolloutState rollout = new RolloutState(settings);
    private final StickyKeys stickyKeys = new StickyKeys();
    private final CanaryRamp ramp = new CanaryRamp();
    private final ExposureLimiter exposure = new ExposureLimiter(settings, 1);
    /** The builds that have an endpoint for every request. */
    private final Set<Integer> available = new TreeSet<>(List.of(STABLE, CANARY));

    private final BuildRouter router = new BuildRouter(
            rollout,
            stickyKeys,
            ramp,
            exposure,
            (build, request, nowTicks) -> available.contains(build) ? endpoint("e" + build, build, 0, 0) : null);

    @BeforeEach
    void beginRollout() {
        announce(STABLE, 1, RolloutPhase.RELEASED);
        announce(CANARY, 0.5, RolloutPhase.CANARY);
        ramp.observe(CANARY, 1);
        ramp.raise(0.5, 1, 1);
        for (int i = 0; i < 1_000; i++) {
            exposure.requestReceived(0, 0);
        }
    }

    private void announce(int build, double cap, RolloutPhase phase) {
        rollout.apply(new RolloutUpdate(ControlStatus.OK, 1, cap, 0, phase, build, false), 0);
        rollout.selectBuilds(NO_CAPACITIES, 0);
    }

    private int chosenBuild(ActiveRequest request) {
        Endpoint endpoint = router.choose(request, 0);
        return endpoint == null ? NONE : endpoint.build();
    }

    private int chosenBuild(String key) {
        return chosenBuild(request(route(Idempotency.IDEMPOTENT), key));
    }

    private static String key(boolean isInSlice) {
        int i = 0;
        while (StickyKeySlice.fractionOf("k" + i, CANARY) < 0.4 != isInSlice) {
            i++;
        }
        return "k" + i;
    }

    @Test
    void sendsOnlyKeysOfItsSliceToTheCanary() {
        assertEquals(CANARY, chosenBuild(key(true)));
        assertEquals(STABLE, chosenBuild(key(false)));
    }

    @Test
    void sendsABoundKeyToItsBuildOnly() {
        String key = key(false);
        stickyKeys.served(key, CANARY);
        assertEquals(CANARY, chosenBuild(key));
        available.remove(CANARY);
        assertEquals(NONE, chosenBuild(key));
    }

    @Test
    void sendsTheSliceToTheStableBuildBeyondTheCap() {
        while (exposure.allows(CANARY, 0, 0.5, true, 0)) {
            exposure.attemptPlanned(CANARY, 0, 0);
        }
        assertEquals(STABLE, chosenBuild(key(true)));
    }

    @Test
    void sendsARequestThatFailedAtTheCanaryToTheStableBuild() {
        ActiveRequest request = request(route(Idempotency.IDEMPOTENT), key(true));
        request.attemptEndedWithoutCompletion(endpoint("e"), true);
        assertEquals(STABLE, chosenBuild(request));
    }

    @Test
    void usesTheCanaryUpToTheCapIfTheStableBuildHasNoEndpoint() {
        available.remove(STABLE);
        assertEquals(CANARY, chosenBuild(key(false)));
        while (exposure.allows(CANARY, 0, 0.5, true, 0)) {
            exposure.attemptPlanned(CANARY, 0, 0);
        }
        assertEquals(NONE, chosenBuild(key(false)));
    }

    @Test
    void sendsTheSliceToTheStableBuildIfTheCanaryHasNoEndpoint() {
        available.remove(CANARY);
        assertEquals(STABLE, chosenBuild(key(true)));
    }

    @Test
    void bindsTheKeyOfAnAttemptAtTheCanaryAndCountsItAgainstTheCap() {
        String key = key(true);
        ActiveRequest request = request(route(Idempotency.IDEMPOTENT), key);
        Endpoint canary = endpoint("e", CANARY, 0, 0);
        while (exposure.allows(CANARY, 0, 0.5, true, 0)) {
            router.attemptPlanned(request, canary, 0);
        }
        router.attemptSent(request, canary);
        assertEquals(CANARY, stickyKeys.oldestAllowedBuild(key));
        router.attemptEnded(request, canary, AttemptOutcome.FAILED);
        assertEquals(StickyKeys.NO_BUILD, stickyKeys.oldestAllowedBuild(key));
        router.attemptEnded(request, canary, AttemptOutcome.TIMED_OUT);
        assertEquals(CANARY, stickyKeys.oldestAllowedBuild(key), "the endpoint may have served it");
    }

    @Test
    void doesNotBindTheKeyOfAnAttemptAtTheStableBuild() {
        ActiveRequest request = request(route(Idempotency.IDEMPOTENT), "key");
        Endpoint stable = endpoint("e", STABLE, 0, 0);
        router.attemptPlanned(request, stable, 0);
        router.attemptSent(request, stable);
        router.attemptEnded(request, stable, AttemptOutcome.COMPLETED);
        assertEquals(StickyKeys.NO_BUILD, stickyKeys.oldestAllowedBuild("key"));
    }

    @Test
    void sendsARequestWithoutAKeyByItsRandomFraction() {
        assertEquals(
                STABLE,
                chosenBuild(request(route(Idempotency.IDEMPOTENT), null)),
                "a fraction of 0.5 is above the threshold of 0.4");
        ramp.raise(1, 1, 1);
        assertTrue(ramp.threshold() > 0.5);
        assertEquals(CANARY, chosenBuild(request(route(Idempotency.IDEMPOTENT), null)));
    }
}
