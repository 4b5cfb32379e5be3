package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.wire.ForwardedMessage;
import org.junit.jupiter.api.Test;

class FinalAnswerGuardTest {
    private static final long DEADLINE_TICKS = 1_000;

    private long nowTicks = 10;
    private final EventLoop loop = new EventLoop(() -> nowTicks);
    private final AcceptedRequest request = request();

    private static AcceptedRequest request() {
        ForwardedMessage message = new ForwardedMessage(new byte[0], new byte[0]);
        ClientRequest clientRequest =
                new ClientRequest(null, message, false, false, 0, 0, null, DEADLINE_TICKS, 0, false);
        return new AcceptedRequest("life-0", 0, null, clientRequest, 10, DEADLINE_TICKS);
    }

    /** Runs the loop at a given time until no task is due. */
    private void runAt(long ticks) {
        nowTicks = ticks;
        loop.schedule(ticks, () -> {});
        loop.run(() -> {
            loop.stop();
            return false;
        });
    }

    @Test
    void anAnsweredRequestGetsNoSecondAnswerAndNoAttempt() {
        FinalAnswerGuard guard = new FinalAnswerGuard(loop, true);
        assertTrue(guard.permitsAnswer(request));
        assertTrue(guard.permitsAttempt(request));
        request.markAnswered();
        assertFalse(guard.permitsAnswer(request));
        assertFalse(guard.permitsAttempt(request));
    }

    @Test
    void anExpiredRequestGetsNoAttempt() {
        FinalAnswerGuard guard = new FinalAnswerGuard(loop, true);
        runAt(DEADLINE_TICKS);
        assertTrue(guard.permitsAnswer(request));
        assertFalse(guard.permitsAttempt(request));
    }

    @Test
    void anOverdueRequestIsReportedAMillisecondBeforeItsDeadline() {
        List<Long> reportedAtTicks = new ArrayList<>();
        new FinalAnswerGuard(loop, true).watch(request, () -> reportedAtTicks.add(loop.nowTicks()));
        runAt(DEADLINE_TICKS - 10);
        assertEquals(List.of(DEADLINE_TICKS - 10), reportedAtTicks);
    }

    @Test
    void aCancelledTimerReportsNothing() {
        List<Long> reportedAtTicks = new ArrayList<>();
        new FinalAnswerGuard(loop, true).watch(request, () -> reportedAtTicks.add(loop.nowTicks()));
        request.cancelOverdueTimer();
        runAt(DEADLINE_TICKS);
        assertEquals(List.of(), reportedAtTicks);
    }

    @Test
    void aDisabledGuardPermitsEverything() {
        FinalAnswerGuard guard = new FinalAnswerGuard(loop, false);
        List<Long> reportedAtTicks = new ArrayList<>();
        guard.watch(request, () -> reportedAtTicks.add(loop.nowTicks()));
        request.markAnswered();
        runAt(DEADLINE_TICKS);
        assertEquals(List.of(), reportedAtTicks);
        assertTrue(guard.permitsAnswer(request));
        assertTrue(guard.permitsAttempt(request));
    }
}
