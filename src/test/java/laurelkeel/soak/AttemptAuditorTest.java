package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules that compare the requests that clients sent with the attempts that endpoints received. */
class AttemptAuditorTest {
    private static final double TIMEOUT_SECONDS = 1;
    private static final double LONG_AGO = -10;

    private final RunMonitor monitor = RunMonitor.create();
    private final AttemptAuditor auditor = new AttemptAuditor(monitor, new AttemptAuditor.Slack(0.001, 0, 0.15));

    private List<SoakRule> violatedRules() {
        return monitor.violations().violations().stream().map(Violation::rule).toList();
    }

    @Test
    void anAttemptInTimeViolatesNoRule() throws Exception {
        auditor.requestSent("r", TIMEOUT_SECONDS);
        auditor.attemptReceived("s-1", "r", TIMEOUT_SECONDS);
        assertEquals(List.of(), violatedRules());
    }

    @Test
    void anAttemptForARequestThatNoClientSentIsAViolation() throws Exception {
        auditor.attemptReceived("s-1", "r", TIMEOUT_SECONDS);
        assertEquals(List.of(SoakRule.REQUEST_ID), violatedRules());
    }

    @Test
    void aRemainingTimeLongerThanTheClientsIsAViolation() throws Exception {
        auditor.requestSent("r", TIMEOUT_SECONDS);
        auditor.attemptReceived("s-1", "r", 2 * TIMEOUT_SECONDS);
        assertEquals(List.of(SoakRule.TIME_LEFT), violatedRules());
    }

    @Test
    void anAttemptAfterItsClientDisconnectedIsAViolation() throws Exception {
        auditor.requestSent("r", TIMEOUT_SECONDS);
        auditor.clientDisconnected("r");
        Thread.sleep(20);
        auditor.attemptReceived("s-1", "r", 0);
        assertEquals(List.of(SoakRule.LOST), violatedRules());
    }

    @Test
    void anAttemptAtADrainingEndpointIsAViolation() throws Exception {
        auditor.endpointDraining("s-1", LONG_AGO);
        auditor.requestSent("r", TIMEOUT_SECONDS);
        auditor.attemptReceived("s-1", "r", TIMEOUT_SECONDS);
        assertEquals(List.of(SoakRule.DRAIN), violatedRules());
    }

    @Test
    void anAttemptAtADrainingEndpointIsAllowedWhileDiscoveryIsDown() throws Exception {
        auditor.endpointDraining("s-1", LONG_AGO);
        auditor.outageStarted();
        auditor.requestSent("r", TIMEOUT_SECONDS);
        auditor.attemptReceived("s-1", "r", TIMEOUT_SECONDS);
        assertEquals(List.of(), violatedRules());
    }

    @Test
    void theHostsLatenessIsTolerated() throws Exception {
        auditor.requestSent("r", TIMEOUT_SECONDS);
        monitor.lateness().record(1);
        auditor.attemptReceived("s-1", "r", 2 * TIMEOUT_SECONDS);
        assertEquals(List.of(), violatedRules());
    }
}
