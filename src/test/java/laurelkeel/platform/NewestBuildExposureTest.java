package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import org.junit.jupiter.api.Test;

class NewestBuildExposureTest {
    private static final long DECIDED = 100;
    private static final long LATER = 200;

    private final NewestBuildExposure exposure = new NewestBuildExposure();

    private void update(int build, RolloutPhase phase, double cap, long nowTicks) {
        exposure.onUpdate(new ReportedRollout(build, 0, phase, cap, 0).toUpdate(0, false), nowTicks);
    }

    @Test
    void withoutAnUpdateEverythingMayBeSent() {
        assertTrue(exposure.maySend(1, DECIDED));
    }

    @Test
    void anEarlierBuildIsNeverLimited() {
        update(2, RolloutPhase.CANARY, 0.1, LATER);
        assertTrue(exposure.maySend(1, DECIDED));
        assertFalse(exposure.maySend(2, DECIDED));
        assertFalse(exposure.maySend(3, DECIDED));
    }

    @Test
    void anAttemptDecidedBeforeTheCapWasLoweredIsNotSent() {
        update(2, RolloutPhase.CANARY, 0.5, 0);
        assertTrue(exposure.maySend(2, DECIDED));
        update(2, RolloutPhase.CANARY, 0.1, LATER);
        assertFalse(exposure.maySend(2, DECIDED));
        assertTrue(exposure.maySend(2, LATER + 1));
    }

    @Test
    void aRaisedCapBlocksNoAttempt() {
        update(2, RolloutPhase.CANARY, 0.1, 0);
        update(2, RolloutPhase.CANARY, 0.5, LATER);
        update(2, RolloutPhase.RELEASED, 1, LATER);
        assertTrue(exposure.maySend(2, DECIDED));
    }

    @Test
    void aBuildThatIsRolledBackHasNoExposure() {
        update(2, RolloutPhase.CANARY, 0.5, 0);
        update(2, RolloutPhase.ROLLING_BACK, 0.5, LATER);
        assertFalse(exposure.maySend(2, DECIDED));
    }

    @Test
    void anUpdateForAnEarlierBuildOrWithoutAStateIsIgnored() {
        update(2, RolloutPhase.CANARY, 0.5, 0);
        update(1, RolloutPhase.ROLLED_BACK, 0, LATER);
        exposure.onUpdate(
                new Event.RolloutUpdate(ControlStatus.TIMED_OUT, 0, 0, 0, RolloutPhase.CANARY, 2, true), LATER);
        assertTrue(exposure.maySend(2, DECIDED));
    }
}
