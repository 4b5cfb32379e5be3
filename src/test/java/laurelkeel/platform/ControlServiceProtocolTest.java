package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.platform.ControlServiceMessage.Complaint;
import laurelkeel.platform.ControlServiceMessage.Heartbeat;
import laurelkeel.platform.ControlServiceMessage.Metrics;
import laurelkeel.platform.ControlServiceMessage.Progress;
import laurelkeel.platform.ControlServiceMessage.SubscriptionAccepted;
import laurelkeel.platform.ControlServiceMessage.VoteAccepted;
import org.junit.jupiter.api.Test;

class ControlServiceProtocolTest {
    private static final ReportedRollout STATE = new ReportedRollout(42, 1, RolloutPhase.CANARY, 0.28, 3_105);

    private static String notificationErrorField(String line) {
        return assertThrows(MalformedMessageException.class, () -> ControlServiceProtocol.parseNotification(line), line)
                .field();
    }

    private static String replyErrorField(String line) {
        return assertThrows(MalformedMessageException.class, () -> ControlServiceProtocol.parseVoteReply(line), line)
                .field();
    }

    @Test
    void eachNotificationIsParsedToItsType() throws Exception {
        assertEquals(new SubscriptionAccepted(), ControlServiceProtocol.parseNotification("OK"));
        assertEquals(new Heartbeat(), ControlServiceProtocol.parseNotification("*"));
        assertEquals(
                new Progress(STATE),
                ControlServiceProtocol.parseNotification("* progress 42 1 Progressing 0.28 310.5"));
        assertEquals(
                new Metrics(42, "lookup", 57, 2, 185, 9_000),
                ControlServiceProtocol.parseNotification("* metrics 42 lookup 57 2 18.5 900"));
        assertEquals(new Complaint(), ControlServiceProtocol.parseNotification("* complaint s-1 of any form"));
    }

    @Test
    void aReplyCarriesTheStateOfTheNewestBuild() throws Exception {
        assertEquals(new VoteAccepted(STATE), ControlServiceProtocol.parseVoteReply("OK 42 1 Progressing 0.28 310.5"));
    }

    @Test
    void anErrorNamesTheMalformedField() {
        assertEquals("build", notificationErrorField("* progress x 1 Progressing 0.28 310"));
        assertEquals("build", notificationErrorField("* progress 2147483648 1 Progressing 0.28 310"));
        assertEquals("stage", notificationErrorField("* progress 42 -1 Progressing 0.28 310"));
        assertEquals("phase", notificationErrorField("* progress 42 1 Nothing 0.28 310"));
        assertEquals("cap", notificationErrorField("* progress 42 1 Progressing 7 310"));
        assertEquals("cap", notificationErrorField("* progress 42 1 Progressing NaN 310"));
        assertEquals("age_ms", notificationErrorField("* progress 42 1 Progressing 0.28 -1"));
        assertEquals("count", notificationErrorField("* metrics 42 lookup x 2 18.5 900"));
        assertEquals("failed", notificationErrorField("* metrics 42 lookup 57 x 18.5 900"));
        assertEquals("mean_ms", notificationErrorField("* metrics 42 lookup 57 2 Infinity 900"));
        assertEquals("age_ms", notificationErrorField("* metrics 42 lookup 57 2 18.5 x"));
        assertEquals("phase", replyErrorField("OK 42 1 Nothing 0.28 310"));
    }

    @Test
    void aLineInAnUnknownFormatIsRejected() {
        for (String line : List.of("", "ok", "* ", "* other", "* progress 42 1 Progressing 0.28", "OK 1", "\1\2")) {
            assertEquals("notification", notificationErrorField(line));
        }
        for (String line : List.of("", "OK", "OK 45 no", "ERR", "ERR other", "ERR unavailable now", "NO")) {
            assertEquals("reply", replyErrorField(line));
        }
    }

    @Test
    void anErrorQuotesATruncatedPrintableExcerpt() {
        String message = assertThrows(
                        MalformedMessageException.class,
                        () -> ControlServiceProtocol.parseNotification("\1" + "x".repeat(100)))
                .getMessage();
        assertEquals("notification: '?" + "x".repeat(59) + "...' has an unknown format", message);
    }

    @Test
    void notificationsAreDistinguishedFromReplies() {
        assertTrue(ControlServiceProtocol.isNotification("*"));
        assertTrue(ControlServiceProtocol.isNotification("* progress 42 1 Progressing 0.28 310"));
        assertFalse(ControlServiceProtocol.isNotification("OK 42 1 Progressing 0.28 310"));
    }
}
