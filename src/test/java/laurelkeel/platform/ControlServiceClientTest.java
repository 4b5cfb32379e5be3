package laurelkeel.platform;

import static laurelkeel.platform.PlatformTestBed.getRequest;
import static laurelkeel.platform.PlatformTestBed.lineReader;
import static laurelkeel.platform.PlatformTestBed.receive;
import static laurelkeel.platform.PlatformTestBed.send;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.List;
import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import org.junit.jupiter.api.Test;

/** Notifications from the control service, and the replies to votes. */
class ControlServiceClientTest {
    @Test
    void notificationsBecomeEventsAndAMalformedLineReconnects() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::doNothing)) {
            assertEquals(
                    RolloutPhase.RELEASED,
                    testBed.awaitEvent(Event.RolloutUpdate.class, 1).phase());
            Socket subscription = testBed.controlService.nextConnection();
            assertEquals("SUB", lineReader(subscription).readLine());
            send(subscription, "OK\r\n*\r\n* metrics 42 pay 57 2 18.5 900\r\n* progress 42 1 Progr");
            Event.BuildStatistics statistics = testBed.awaitEvent(Event.BuildStatistics.class, 1);
            assertEquals(
                    List.of(42, 1, 57L, 2L, 185L),
                    List.of(
                            statistics.build(),
                            statistics.route(),
                            statistics.attempts(),
                            statistics.errors(),
                            statistics.meanDurationTicks()));
            send(subscription, "essing 0.28 310\r\n");
            Event.RolloutUpdate update = testBed.awaitEvent(Event.RolloutUpdate.class, 2);
            assertEquals(
                    List.of(42, 1, 0.28, RolloutPhase.CANARY),
                    List.of(update.build(), update.stage(), update.exposureCap(), update.phase()));
            for (String malformed : List.of(
                    "* progress 42 1 Progressing 0.2",
                    "* progress 42 x Progressing 0.28 1",
                    "* progress 42 1 Nothing 0.28 1",
                    "\1\2",
                    "* progress 42 1 Progressing 7 1")) {
                send(subscription, malformed + "\r\n");
                subscription = testBed.controlService.nextConnection();
                lineReader(subscription).readLine();
            }
            send(subscription, "OK\r\n* progress 42 2 Progressing 0.5 1\r\n");
            assertEquals(2, testBed.awaitEvent(Event.RolloutUpdate.class, 3).stage());
            assertEquals(3, testBed.eventsOf(Event.RolloutUpdate.class).size());
        }
    }

    @Test
    void aLateReplyIsNotAttributedToTheNextVote() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(1024, 300, PlatformTestBed::voteOnEachRequest)) {
            testBed.controlService.nextConnection();
            Socket client = testBed.connectClient();
            send(client, getRequest("1", ""));
            Socket voteConnection = testBed.controlService.nextConnection();
            assertEquals("SAY 42 1 reject", lineReader(voteConnection).readLine());
            assertEquals(ControlStatus.TIMED_OUT, testBed.awaitVoteReply(1).status());
            receive(client);
            send(client, getRequest("2", ""));
            Socket next = testBed.controlService.nextConnection();
            assertEquals("SAY 43 1 reject", lineReader(next).readLine());
            send(next, "ERR too_many_calls\r\n");
            assertEquals(ControlStatus.RATE_LIMITED, testBed.awaitVoteReply(2).status());
            receive(client);
            send(client, getRequest("3", ""));
            assertEquals("SAY 44 1 reject", lineReader(next).readLine());
            send(next, "OK 44 1 Aborting 0.0 5\r\n");
            assertEquals(RolloutPhase.ROLLING_BACK, testBed.awaitVoteReply(3).phase());
            receive(client);
            send(client, getRequest("4", ""));
            lineReader(next).readLine();
            send(next, "OK 45 no\r\n");
            assertEquals(ControlStatus.TIMED_OUT, testBed.awaitVoteReply(4).status());
            assertEquals(-1, next.getInputStream().read());
        }
    }
}
