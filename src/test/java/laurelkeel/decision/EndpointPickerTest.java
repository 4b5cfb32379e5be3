package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static laurelkeel.decision.DecisionFixtures.attempt;
import static laurelkeel.decision.DecisionFixtures.entry;
import static laurelkeel.decision.DecisionFixtures.request;
import static laurelkeel.decision.DecisionFixtures.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import org.junit.jupiter.api.Test;

class EndpointPickerTest {
    private static final long NOW_TICKS = 100 * SECOND;

    private final Settings settings = DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.FIRST_VOTE);
    private final SlowStart slowStart = new SlowStart(settings.limits());
    private final EndpointRegistry registry = new EndpointRegistry(settings, new SeededRandom(1), slowStart);
    private final EndpointPicker picker =
            new EndpointPicker(registry, new RetryPolicy(4), slowStart, new OwnThroughput(0));

    private void applySnapshot(EndpointEntry... entries) {
        registry.apply(new EndpointListUpdate(EndpointListKind.SNAPSHOT, List.of(entries)), NOW_TICKS);
    }

    /** Returns the ids of the endpoints picked in 30 picks for the same request. */
    private Set<String> picked(ActiveRequest request) {
        Set<String> ids = new TreeSet<>();
        for (int i = 0; i < 30; i++) {
            Endpoint endpoint = picker.pick(1, request, NOW_TICKS);
            if (endpoint != null) {
                ids.add(endpoint.id());
            }
        }
        return ids;
    }

    private Endpoint find(String id) {
        return registry.activeEndpoints(1).stream()
                .filter(e -> e.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void allHealthyEndpointsTakeTurns() {
        applySnapshot(entry("a", 1, 0, 0, 0), entry("b", 1, 0, 0, 0), entry("c", 2, 0, 0, 0));
        assertEquals(Set.of("a", "b"), picked(request(Idempotency.IDEMPOTENT)));
        assertNull(picker.pick(3, request(Idempotency.IDEMPOTENT), NOW_TICKS), "no such build");
    }

    @Test
    void anEjectedEndpointIsExcludedWhileThereAreOthers() {
        applySnapshot(entry("a", 1, 0, 0, 0), entry("b", 1, 0, 0, 0));
        picked(request(Idempotency.IDEMPOTENT));
        Endpoint failing = find("a");
        for (int i = 0; i < 2; i++) {
            failing.health().record(AttemptOutcome.CONNECT_FAILED, false, NOW_TICKS);
            failing.eligibilityChanged();
        }
        assertEquals(Set.of("b"), picked(request(Idempotency.IDEMPOTENT)));
        applySnapshot(entry("a", 1, 0, 0, 0));
        assertEquals(
                Set.of("a"),
                picked(request(Idempotency.IDEMPOTENT)),
                "the only endpoint is picked although it is ejected");
    }

    @Test
    void aRetryAvoidsTheEndpointsThatFailedIt() {
        applySnapshot(entry("a", 1, 0, 0, 0), entry("b", 1, 0, 0, 0));
        ActiveRequest request = request(Idempotency.IDEMPOTENT);
        request.attemptEndedWithoutCompletion(find("a"), false);
        assertEquals(Set.of("b"), picked(request));
        request.attemptEndedWithoutCompletion(find("b"), false);
        assertEquals(Set.of("a", "b"), picked(request));
    }

    @Test
    void aRepeatGoesOnlyToEndpointsInItsDeduplicationScope() {
        applySnapshot(entry("a", 1, 0, 0, 0), entry("b", 1, 1, 1, 0));
        ActiveRequest request = request(route(Idempotency.DEDUPLICATED, DeduplicationScope.ZONE), "key");
        attempt(request, find("a"), AttemptOutcome.CONNECTION_LOST, NOW_TICKS);
        assertEquals(Set.of("a"), picked(request));
        applySnapshot(entry("b", 1, 1, 1, 0));
        assertEquals(Set.of(), picked(request));
    }

    @Test
    void anEndpointThatIsWarmingUpIsNotOverloadedEvenIfItIsTheOnlyOne() {
        applySnapshot(entry("a", 1, 0, 0, NOW_TICKS));
        assertEquals(
                Set.of(),
                picked(request(Idempotency.IDEMPOTENT)),
                "there are no answers so far, so its warm-up budget is 0");
    }
}
