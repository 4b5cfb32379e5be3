package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules that need both what clients sent and what reached an endpoint. */
class AttemptAuditorTest {
    private static final double TIMEOUT_SECONDS = 1;
    private static final double LONG_AGO = -10;

    private final RunMonitor monitor = RunMonitor.create();
    private final AttemptAuditor auditor = new AttemptAuditor(monitor);

    private List<SoakRule> broken() {
        return monitor.violations().violations().stream().map(Violation::rule).toList();
    }

    @Test
    void anAttemptInTimeBreaksNothing() throws Exception {
        auditor.requestSent("r", TIMEOUT_SECONDS);
        auditor.attemptReceived("s-1", "r", TIMEOUT_SECONDS, 0);
        assertEquals(List.of(), broken());
    }

    @Test
    void anAttemptForARequestThatNobodySentIsAViolation() throws Exception {
        auditor.attemptReceived("s-1", "r", TIMEOUT_SECONDS, 0);
        assertEquals(List.of(SoakRule.REQUEST_ID), broken());
    }

    @Test
    void moreTimeThanTheClientHasIsAViolation() throws Exception {
        auditor.requestSent("r", TIMEOUT_SECONDS);
        auditor.attemptReceived("s-1", "r", 2 * TIMEOUT_SECONDS, 0);
        assertEquals(List.of(SoakRule.TIME_LEFT), broken());
    }

    @Test
    void anAttemptAfterItsClientHasLeftIsAViolation() throws Exception {
        auditor.requestSent("r", TIMEOUT_SECONDS);
        auditor.clientLeft("r");
        Thread.sleep(20);
        auditor.attemptReceived("s-1", "r", 0, 0.001);
        assertEquals(List.of(SoakRule.LOST), broken());
    }

    @Test
    void anAttemptAtADrainingEndpointIsAViolation() throws Exception {
        auditor.endpointDrains("s-1", LONG_AGO);
        auditor.requestSent("r", TIMEOUT_SECONDS);
        auditor.attemptReceived("s-1", "r", TIMEOUT_SECONDS, 0);
        assertEquals(List.of(SoakRule.DRAIN), broken());
    }

    @Test
    void aDrainIsNotJudgedWhileDiscoveryIsDown() throws Exception {
        auditor.endpointDrains("s-1", LONG_AGO);
        auditor.outageBegins();
        auditor.requestSent("r", TIMEOUT_SECONDS);
        auditor.attemptReceived("s-1", "r", TIMEOUT_SECONDS, 0);
        assertEquals(List.of(), broken());
    }

    @Test
    void theHostsLatenessIsNotHeldAgainstANode() throws Exception {
        auditor.requestSent("r", TIMEOUT_SECONDS);
        monitor.lateness().record(1);
        auditor.attemptReceived("s-1", "r", 2 * TIMEOUT_SECONDS, 0);
        assertEquals(List.of(), broken());
    }
}
