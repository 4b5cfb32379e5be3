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

    private void list(EndpointEntry... entries) {
        registry.apply(new EndpointListUpdate(EndpointListKind.SNAPSHOT, List.of(entries)), NOW_TICKS);
    }

    /** The endpoints that get the turns of equal requests. */
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
        list(entry("a", 1, 0, 0, 0), entry("b", 1, 0, 0, 0), entry("c", 2, 0, 0, 0));
        assertEquals(Set.of("a", "b"), picked(request(Idempotency.IDEMPOTENT)));
        assertNull(picker.pick(3, request(Idempotency.IDEMPOTENT), NOW_TICKS), "no such build");
    }

    @Test
    void anEjectedEndpointIsLeftOutWhileThereAreOthers() {
        list(entry("a", 1, 0, 0, 0), entry("b", 1, 0, 0, 0));
        picked(request(Idempotency.IDEMPOTENT));
        Endpoint failing = find("a");
        for (int i = 0; i < 2; i++) {
            failing.health().record(AttemptOutcome.CONNECT_FAILED, false, NOW_TICKS);
            failing.eligibilityChanged();
        }
        assertEquals(Set.of("b"), picked(request(Idempotency.IDEMPOTENT)));
        list(entry("a", 1, 0, 0, 0));
        assertEquals(Set.of("a"), picked(request(Idempotency.IDEMPOTENT)), "suspicion never empties the rotation");
    }

    @Test
    void aRetryAvoidsTheEndpointsThatFailedIt() {
        list(entry("a", 1, 0, 0, 0), entry("b", 1, 0, 0, 0));
        ActiveRequest request = request(Idempotency.IDEMPOTENT);
        request.attemptFailed(find("a"), false);
        assertEquals(Set.of("b"), picked(request));
        request.attemptFailed(find("b"), false);
        assertEquals(Set.of("a", "b"), picked(request));
    }

    @Test
    void aRepeatGoesOnlyWhereItsFirstAttemptIsKnown() {
        list(entry("a", 1, 0, 0, 0), entry("b", 1, 1, 1, 0));
        ActiveRequest request = request(route(Idempotency.DEDUPLICATED, DeduplicationScope.ZONE), "key");
        attempt(request, find("a"), AttemptOutcome.CONNECTION_LOST, NOW_TICKS);
        assertEquals(Set.of("a"), picked(request));
        list(entry("b", 1, 1, 1, 0));
        assertEquals(Set.of(), picked(request));
    }

    @Test
    void aColdEndpointIsNotOverloadedEvenWhereItIsTheOnlyOne() {
        list(entry("a", 1, 0, 0, NOW_TICKS));
        assertEquals(Set.of(), picked(request(Idempotency.IDEMPOTENT)), "none of its kind has answered so far");
    }
}
