package laurelkeel.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class NaiveRulesTest {
    private final GeneratedRelease early = new GeneratedRelease(2, 10);
    private final GeneratedRelease late = new GeneratedRelease(3, 20);
    private final List<GeneratedRelease> releases = List.of(early, late);

    private static void addRequests(BadOutcomeRate rate, int requests, int badOutcomes) {
        for (int i = 0; i < requests; i++) {
            rate.add(i < badOutcomes);
        }
    }

    @Test
    void newestIsTheReleaseThatStartedLast() {
        assertEquals(NaiveRules.NO_BUILD, NaiveRules.newest(releases, 5));
        assertEquals(2, NaiveRules.newest(releases, 19));
        assertEquals(3, NaiveRules.newest(releases, 20));
    }

    @Test
    void worstRateIgnoresReleasesWithoutRequests() {
        assertEquals(NaiveRules.NO_BUILD, NaiveRules.worstRate(releases));
        addRequests(late.ownOutcomes(), 10, 1);
        assertEquals(3, NaiveRules.worstRate(releases));
        addRequests(early.ownOutcomes(), 10, 2);
        assertEquals(2, NaiveRules.worstRate(releases));
    }

    @Test
    void testedAloneIgnoresReleasesWithTooFewRequests() {
        addRequests(early.otherOutcomes(), 1000, 10);
        addRequests(early.ownOutcomes(), 29, 20);
        assertEquals(NaiveRules.NO_BUILD, NaiveRules.testedAlone(releases));
        addRequests(early.ownOutcomes(), 1, 0);
        assertEquals(2, NaiveRules.testedAlone(releases));
    }
}
