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
 * Peers that stop midway, trickle, flood or vanish: no other peer waits for them, and no connection is kept for ever.
 */
class MisbehavingPeersTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    @TempDir
    Path directory;

    /** Sends a byte at a time without end; true once the other side has closed. */
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
    void aPartialRequestAtTheAdminAddressKeepsNobodyFromHealth() throws Exception {
        int admin = PortAllocator.allocate();
        try (FrontTestPeers peers =
                new FrontTestPeers(directory, "", List.of("admin = 127.0.0.1:" + admin), FrontTestPeers::sendOnce)) {
            List<Socket> halves = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), admin);
                FrontTestPeers.send(socket, "GET /met");
                halves.add(socket);
            }
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), admin)) {
                socket.setSoTimeout(5_000);
                FrontTestPeers.send(
                        socket, "GET /health HTTP/1.1\r\nHost: a\r\n\r\nGET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
                assertTrue(FrontTestPeers.receive(socket).endsWith("ok\n"));
                assertTrue(FrontTestPeers.receive(socket).contains("laurelkeel_reqs_held"));
            }
            FrontTestPeers.send(halves.get(0), "rics HTTP/1.1\r\nHost: a\r\n");
            assertTrue(closedOnTrickle(halves.get(0), "X-Y: z\r\n"), "a place is kept for ever");
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
            // longer than a connection may be idle, and less than the route's timeout
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
            Socket in = peers.connectClient();
            FrontTestPeers.send(in, FrontTestPeers.lookRequest(""));
            FrontTestPeers.receive(in);
            for (int i = 0; i < 300; i++) {
                try (Socket client = peers.connectClient()) {
                    FrontTestPeers.send(client, FrontTestPeers.lookRequest("X: " + i + "\r\n"));
                    assertTrue(FrontTestPeers.receive(client).contains("Laurelkeel-Taken: no"));
                } catch (IOException e) {
                    // closed with what it sent unread: it has no answer, and may not have been accepted either
                }
            }
            FrontTestPeers.send(in, FrontTestPeers.lookRequest(""));
            FrontTestPeers.receive(in);
            assertEquals(
                    2,
                    peers.events.stream()
                            .filter(e -> e instanceof Event.RequestReceived)
                            .count(),
                    "told: not taken");
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
    void anEndpointThatVanishesCostsOneTimeoutAndNotOneAConnection() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(
                directory,
                "",
                (self, e) -> e instanceof Event.RequestReceived request
                        ? List.of(new Action.SendAttempt(request.requestId(), self.endpointId(), 3_000))
                        : e instanceof Event.AttemptEnded attempt && !attempt.requestEnded()
                                ? List.of(new Action.FailRequest(attempt.requestId()))
                                : List.of())) {
            List<Socket> clients = new ArrayList<>();
            List<Socket> machine = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                clients.add(peers.connectClient());
                FrontTestPeers.send(clients.get(i), FrontTestPeers.lookRequest(""));
                machine.add(peers.nextEndpointConnection());
                FrontTestPeers.receive(machine.get(i));
            }
            for (int i = 0; i < 5; i++) {
                FrontTestPeers.send(machine.get(i), OK);
                FrontTestPeers.receive(clients.get(i));
            }
            // five are idle; from here on the endpoint sends nothing on any of them
            FrontTestPeers.send(clients.get(0), FrontTestPeers.lookRequest(""));
            assertTrue(FrontTestPeers.receive(clients.get(0)).startsWith("HTTP/1.1 502"));
            FrontTestPeers.send(clients.get(1), FrontTestPeers.lookRequest(""));
            Socket fresh = peers.nextEndpointConnection();
            FrontTestPeers.receive(fresh);
            FrontTestPeers.send(fresh, OK);
            assertTrue(FrontTestPeers.receive(clients.get(1)).endsWith("hi"), "an old connection was used");
            assertEquals(
                    1,
                    peers.events.stream()
                            .filter(e -> e instanceof Event.AttemptEnded attempt
                                    && attempt.outcome() == AttemptOutcome.TIMED_OUT)
                            .count());
        }
    }

    @Test
    void anErrorThatEndsASocketThreadEndsTheLoop() throws Exception {
        Error made = new StackOverflowError("made");
        NodeRuntime base = NodeRuntime.create(NodeRuntime.monotonicClock());
        EventLoop loop = base.loop();
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
        FrontSettings set = FrontSettings.read(directory.resolve("f.ini"));
        StandaloneProtocol words = new StandaloneProtocol(
                new RouteTable(set.routes().entries(), List.of()),
                request -> {
                    throw made;
                },
                "0/a",
                "/health");
        Ingress in = new Ingress(set.ingress(), words, loop, base.socketThreads(), base.processors(1), null);
        InetSocketAddress at = in.bind();
        try (Socket client = new Socket(at.getAddress(), at.getPort())) {
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            assertSame(made, ended.get(10, TimeUnit.SECONDS));
        } finally {
            in.close();
        }
    }
}
