package laurelkeel.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class NaiveRulesTest {
    private final GeneratedRelease early = new GeneratedRelease(2, 10);
    private final GeneratedRelease late = new GeneratedRelease(3, 20);
    private final List<GeneratedRelease> releases = List.of(early, late);

    private static void count(HitRate rate, int requests, int hits) {
        for (int i = 0; i < requests; i++) {
            rate.add(i < hits);
        }
    }

    @Test
    void theNewestIsTheLastThatHasStarted() {
        assertEquals(NaiveRules.NO_BUILD, NaiveRules.newest(releases, 5));
        assertEquals(2, NaiveRules.newest(releases, 19));
        assertEquals(3, NaiveRules.newest(releases, 20));
    }

    @Test
    void theWorstRateNeedsRequests() {
        assertEquals(NaiveRules.NO_BUILD, NaiveRules.worstRate(releases));
        count(late.ownHits(), 10, 1);
        assertEquals(3, NaiveRules.worstRate(releases));
        count(early.ownHits(), 10, 2);
        assertEquals(2, NaiveRules.worstRate(releases));
    }

    @Test
    void aReleaseIsTestedAloneOnceItHasEnoughRequests() {
        count(early.otherHits(), 1000, 10);
        count(early.ownHits(), 29, 20);
        assertEquals(NaiveRules.NO_BUILD, NaiveRules.testedAlone(releases));
        count(early.ownHits(), 1, 0);
        assertEquals(2, NaiveRules.testedAlone(releases));
    }
}
