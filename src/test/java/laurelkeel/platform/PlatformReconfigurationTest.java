package laurelkeel.platform;

import static laurelkeel.platform.PlatformTestBed.WATCH_RESPONSE_HEAD;
import static laurelkeel.platform.PlatformTestBed.chunk;
import static laurelkeel.platform.PlatformTestBed.getRequest;
import static laurelkeel.platform.PlatformTestBed.lineReader;
import static laurelkeel.platform.PlatformTestBed.okResponse;
import static laurelkeel.platform.PlatformTestBed.receive;
import static laurelkeel.platform.PlatformTestBed.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import org.junit.jupiter.api.Test;

/** The effect of a new configuration on a running node. */
class PlatformReconfigurationTest {
    @Test
    void aNewConfigurationMovesTheServicesAndLosesNoRequest() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce);
                PlatformTestBed.FakeServer nextDiscovery = new PlatformTestBed.FakeServer();
                PlatformTestBed.FakeServer nextControlService = new PlatformTestBed.FakeServer()) {
            Socket old = testBed.acceptWatch(testBed.listJson(2, false, "active", 1));
            testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
            Socket client = testBed.connectClient();
            send(client, getRequest("1", ""));
            Socket endpointConnection = testBed.endpoint.nextConnection();
            receive(endpointConnection);
            testBed.node.reconfigure(testBed.configuration(nextDiscovery, nextControlService));
            Socket watch = nextDiscovery.nextConnection();
            assertTrue(receive(watch).contains("after=2 "));
            assertEquals("SUB", lineReader(nextControlService.nextConnection()).readLine());
            // the old connection is read until the new one has received something
            send(old, chunk(testBed.listJson(3, false, "active", 1) + "\n"));
            testBed.awaitEvent(Event.EndpointListUpdate.class, 3);
            send(watch, WATCH_RESPONSE_HEAD + chunk("\n"));
            assertTrue(receive(old).contains("<end>"));
            send(endpointConnection, okResponse("served"));
            assertTrue(receive(client).endsWith("served"));
        }
    }

    @Test
    void aVoteAfterTheControlServiceHasMovedGoesToItsNewAddress() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::voteOnEachRequest);
                PlatformTestBed.FakeServer next = new PlatformTestBed.FakeServer()) {
            testBed.controlService.nextConnection();
            Socket client = testBed.connectClient();
            send(client, getRequest("1", ""));
            Socket old = testBed.controlService.nextConnection();
            assertEquals("SAY 42 1 reject", lineReader(old).readLine());
            receive(client);
            testBed.node.reconfigure(testBed.configuration(testBed.discovery, next));
            assertEquals("SUB", lineReader(next.nextConnection()).readLine());
            // the reply to the vote in flight still comes from the old address
            send(old, "OK 42 1 Progressing 0.28 1\r\n");
            assertEquals(ControlStatus.OK, testBed.awaitVoteReply(1).status());
            send(client, getRequest("2", ""));
            assertEquals("SAY 43 1 reject", lineReader(next.nextConnection()).readLine());
        }
    }

    /** The new address must be retried even while the old connection stays open and receives lists. */
    @Test
    void aNewAddressThatIsNotUpYetIsRetriedWhileTheOldConnectionIsRead() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce);
                PlatformTestBed.FakeServer nextDiscovery = new PlatformTestBed.FakeServer();
                PlatformTestBed.FakeServer nextControlService = new PlatformTestBed.FakeServer()) {
            Socket old = testBed.acceptWatch(testBed.listJson(2, false, "active", 1));
            testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
            int port = nextDiscovery.listener.getLocalPort();
            NodeConfiguration next = testBed.configuration(nextDiscovery, nextControlService);
            nextDiscovery.stop();
            testBed.node.reconfigure(next);
            lineReader(nextControlService.nextConnection()).readLine();
            try (ServerSocket late = new ServerSocket(port, 5, InetAddress.getLoopbackAddress())) {
                late.setSoTimeout(2_000);
                Socket watch = late.accept();
                assertTrue(receive(watch).contains("after=2 "));
                send(old, chunk(testBed.listJson(3, false, "active", 1) + "\n"));
                testBed.awaitEvent(Event.EndpointListUpdate.class, 3);
            }
        }
    }
}
