package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.Ingress;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.testbed.PortAllocator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Peers that stop midway, trickle, flood or vanish: they block no other peer, and their connections are closed in the
 * end.
 */
class MisbehavingPeersTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    @TempDir
    Path directory;

    /** Sends a text byte by byte, repeatedly; returns whether the other side closed the connection. */
    private static boolean closedOnTrickle(Socket socket, String text) throws Exception {
        socket.setSoTimeout(200);
        for (int i = 0; i < 100; i++) {
            try {
                FrontTestPeers.send(socket, text.substring(i % text.length(), i % text.length() + 1));
                if (socket.getInputStream().read() < 0) {
                    return true;
                }
            } catch (java.net.SocketTimeoutException e) {
                // still open
            } catch (IOException e) {
                return true;
            }
        }
        return false;
    }

    @Test
    void aPartialRequestAtTheAdminAddressBlocksNoHealthCheck() throws Exception {
        int admin = PortAllocator.allocate();
        try (FrontTestPeers peers =
                new FrontTestPeers(directory, "", List.of("admin = 127.0.0.1:" + admin), FrontTestPeers::sendOnce)) {
            List<Socket> partialRequests = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), admin);
                FrontTestPeers.send(socket, "GET /met");
                partialRequests.add(socket);
            }
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), admin)) {
                socket.setSoTimeout(5_000);
                FrontTestPeers.send(
                        socket, "GET /health HTTP/1.1\r\nHost: a\r\n\r\nGET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
                assertTrue(FrontTestPeers.receive(socket).endsWith("ok\n"));
                assertTrue(FrontTestPeers.receive(socket).contains("laurelkeel_reqs_held"));
            }
            FrontTestPeers.send(partialRequests.get(0), "rics HTTP/1.1\r\nHost: a\r\n");
            assertTrue(
                    closedOnTrickle(partialRequests.get(0), "X-Y: z\r\n"),
                    "the connection of a partial request is still open");
            assertFalse(peers.front.termination().isDone());
        }
    }

    @Test
    void aClientThatTricklesItsRequestIsDisconnected() throws Exception {
        try (FrontTestPeers peers =
                new FrontTestPeers(directory, "[clients]\nidle-close = 1 s\n", FrontTestPeers::sendOnce)) {
            Socket client = peers.connectClient();
            FrontTestPeers.send(client, "GET /look HTTP/1.1\r\nHost: f\r\n");
            assertTrue(closedOnTrickle(client, "X-Y: z\r\n"));
        }
    }

    @Test
    void aClientThatWaitsForALateAnswerStaysConnected() throws Exception {
        try (FrontTestPeers peers =
                        new FrontTestPeers(directory, "[clients]\nidle-close = 1 s\n", FrontTestPeers::sendOnce);
                Socket client = peers.connectClient()) {
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            Socket endpoint = peers.nextEndpointConnection();
            FrontTestPeers.receive(endpoint);
            // the idle timeout passes meanwhile; the connection must stay open until the route's timeout ends the
            // attempt
            assertFalse(closedOnTrickle(client, "\r\n".repeat(1))
                    && peers.events.stream().noneMatch(e -> e instanceof Event.AttemptEnded));
        }
    }

    @Test
    void noRequestOfARejectedConnectionIsAccepted() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(
                directory,
                "[clients]\nconnections = 1\n",
                (self, e) -> e instanceof Event.RequestReceived request
                        ? List.of(new Action.FailRequest(request.requestId()))
                        : List.of())) {
            Socket accepted = peers.connectClient();
            FrontTestPeers.send(accepted, FrontTestPeers.lookRequest(""));
            FrontTestPeers.receive(accepted);
            for (int i = 0; i < 300; i++) {
                try (Socket client = peers.connectClient()) {
                    FrontTestPeers.send(client, FrontTestPeers.lookRequest("X: " + i + "\r\n"));
                    assertTrue(FrontTestPeers.receive(client).contains("Laurelkeel-Taken: no"));
                } catch (IOException e) {
                    // the connection was closed with the request unread: it got no answer and must not be accepted
                }
            }
            FrontTestPeers.send(accepted, FrontTestPeers.lookRequest(""));
            FrontTestPeers.receive(accepted);
            assertEquals(
                    2,
                    peers.events.stream()
                            .filter(e -> e instanceof Event.RequestReceived)
                            .count(),
                    "a request that was answered as not accepted reached the decider");
        }
    }

    @Test
    void aClientThatFloodsAStalledLoopIsNotReadOn() throws Exception {
        int admin = PortAllocator.allocate();
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch stalled = new CountDownLatch(1);
        try (FrontTestPeers peers = new FrontTestPeers(
                        directory, "[clients]\npipelined = 16\n", List.of("admin = 127.0.0.1:" + admin), (self, e) -> {
                            if (e instanceof Event.RequestReceived request && request.partitionKey() != null) {
                                stalled.countDown();
                                try {
                                    held.await(30, TimeUnit.SECONDS);
                                } catch (InterruptedException x) {
                                    Thread.currentThread().interrupt();
                                }
                            }
                            return e instanceof Event.RequestReceived request
                                    ? List.of(new Action.RejectRequest(request.requestId(), 0))
                                    : List.of();
                        });
                Socket watch = new Socket(InetAddress.getLoopbackAddress(), admin)) {
            FrontTestPeers.send(peers.connectClient(), FrontTestPeers.lookRequest("Laurelkeel-Key: stall\r\n"));
            assertTrue(stalled.await(10, TimeUnit.SECONDS));
            Socket client = peers.connectClient();
            String many = FrontTestPeers.lookRequest("").repeat(1000);
            CompletableFuture<Integer> poured = CompletableFuture.supplyAsync(() -> {
                int n = 0;
                try {
                    for (; n < 300; n++) {
                        FrontTestPeers.send(client, many);
                    }
                } catch (IOException e) {
                    // the test is over
                }
                return n;
            });
            double backlog = 0;
            for (int i = 0; i < 20 && !poured.isDone(); i++) {
                backlog = Math.max(backlog, FrontChildProcess.metric(watch, "laurelkeel_loop_backlog"));
                Thread.sleep(50);
            }
            backlog = Math.max(backlog, FrontChildProcess.metric(watch, "laurelkeel_loop_backlog"));
            held.countDown();
            // what one read of its socket holds may come on top
            assertTrue(
                    backlog
                            <= 16
                                    + 2
                                            * (16 << 10)
                                            / FrontTestPeers.lookRequest("").length(),
                    "waiting for the loop: " + backlog);
            for (int i = 0; i < 1000; i++) {
                assertTrue(FrontTestPeers.receive(client).contains("shed"), "answer " + i);
            }
        }
    }

    @Test
    void anEndpointThatVanishesCausesOneTimeoutAndNotOnePerConnection() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(
                directory,
                "",
                (self, e) -> e instanceof Event.RequestReceived request
                        ? List.of(new Action.SendAttempt(request.requestId(), self.endpointId(), 3_000))
                        : e instanceof Event.AttemptEnded attempt && !attempt.requestEnded()
                                ? List.of(new Action.FailRequest(attempt.requestId()))
                                : List.of())) {
            List<Socket> clients = new ArrayList<>();
            List<Socket> endpointConnections = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                clients.add(peers.connectClient());
                FrontTestPeers.send(clients.get(i), FrontTestPeers.lookRequest(""));
                endpointConnections.add(peers.nextEndpointConnection());
                FrontTestPeers.receive(endpointConnections.get(i));
            }
            for (int i = 0; i < 5; i++) {
                FrontTestPeers.send(endpointConnections.get(i), OK);
                FrontTestPeers.receive(clients.get(i));
            }
            // the node has five idle connections; from here on the endpoint sends nothing on any of them
            FrontTestPeers.send(clients.get(0), FrontTestPeers.lookRequest(""));
            assertTrue(FrontTestPeers.receive(clients.get(0)).startsWith("HTTP/1.1 502"));
            FrontTestPeers.send(clients.get(1), FrontTestPeers.lookRequest(""));
            Socket newConnection = peers.nextEndpointConnection();
            FrontTestPeers.receive(newConnection);
            FrontTestPeers.send(newConnection, OK);
            assertTrue(
                    FrontTestPeers.receive(clients.get(1)).endsWith("hi"), "the request was sent on an old connection");
            assertEquals(
                    1,
                    peers.events.stream()
                            .filter(e -> e instanceof Event.AttemptEnded attempt
                                    && attempt.outcome() == AttemptOutcome.TIMED_OUT)
                            .count());
        }
    }

    /** Guards against a part of a body being served because its response states a length that is too short. */
    @Test
    void aResponseLongerThanItsLengthIsNotServedInPart() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(directory, "", FrontTestPeers::sendOnce)) {
            Socket client = peers.connectClient();
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            Socket endpoint = peers.nextEndpointConnection();
            FrontTestPeers.receive(endpoint);
            FrontTestPeers.send(endpoint, OK + "-whole");
            assertTrue(FrontTestPeers.receive(client).startsWith("HTTP/1.1 502"));
            assertEquals(
                    AttemptOutcome.FAILED,
                    peers.firstEvent(Event.AttemptEnded.class).outcome());
        }
    }

    @Test
    void anErrorOnASocketThreadEndsTheLoop() throws Exception {
        Error error = new StackOverflowError("thrown by the test");
        NodeRuntime runtime = NodeRuntime.create(NodeRuntime.monotonicClock());
        EventLoop loop = runtime.loop();
        CompletableFuture<Throwable> ended = new CompletableFuture<>();
        Thread loopThread = new Thread(() -> {
            try {
                loop.run(() -> false);
            } catch (RuntimeException | Error e) {
                ended.complete(e);
            }
        });
        loopThread.setDaemon(true);
        loopThread.start();
        java.nio.file.Files.writeString(directory.resolve("f.ini"), FrontTestPeers.SETTINGS.formatted(""));
        FrontSettings settings = FrontSettings.read(directory.resolve("f.ini"));
        StandaloneProtocol protocol = new StandaloneProtocol(
                new RouteTable(settings.routes().entries(), List.of()),
                request -> {
                    throw error;
                },
                "0/a",
                "/health");
        Ingress ingress =
                new Ingress(settings.ingress(), protocol, loop, runtime.socketThreads(), runtime.processors(1), null);
        InetSocketAddress address = ingress.bind();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            assertSame(error, ended.get(10, TimeUnit.SECONDS));
        } finally {
            ingress.close();
        }
    }
}
