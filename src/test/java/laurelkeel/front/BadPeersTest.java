package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
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
import laurelkeel.front.ingress.Ingress;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.loop.Loop;
import laurelkeel.standin.Ports;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Peers that stay half open, trickle, pour, or go without a word: nobody else waits and no place is kept for ever. */
class BadPeersTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    @TempDir
    Path folder;

    /** Says a byte at a time and never ends; true once the other side has closed. */
    private static boolean closedOnTrickle(Socket s, String text) throws Exception {
        s.setSoTimeout(200);
        for (int i = 0; i < 100; i++) {
            try {
                Peers.say(s, text.substring(i % text.length(), i % text.length() + 1));
                if (s.getInputStream().read() < 0) {
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
    void aHalfSentReqAtTheAdminAddressKeepsNobodyFromHealth() throws Exception {
        int admin = Ports.free();
        try (Peers p = new Peers(folder, "", List.of("admin = 127.0.0.1:" + admin), Peers::once)) {
            List<Socket> halves = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                Socket s = new Socket("127.0.0.1", admin);
                Peers.say(s, "GET /met");
                halves.add(s);
            }
            try (Socket s = new Socket("127.0.0.1", admin)) {
                s.setSoTimeout(5_000);
                Peers.say(s, "GET /health HTTP/1.1\r\nHost: a\r\n\r\nGET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
                assertTrue(Peers.hear(s).endsWith("ok\n"));
                assertTrue(Peers.hear(s).contains("laurelkeel_reqs_held"));
            }
            Peers.say(halves.get(0), "rics HTTP/1.1\r\nHost: a\r\n");
            assertTrue(closedOnTrickle(halves.get(0), "X-Y: z\r\n"), "a place is kept for ever");
        }
    }

    @Test
    void aClientThatTricklesItsReqLosesItsPlace() throws Exception {
        try (Peers p = new Peers(folder, "[clients]\nidle-close = 1 s\n", Peers::once)) {
            Socket c = p.client();
            Peers.say(c, "GET /look HTTP/1.1\r\nHost: f\r\n");
            assertTrue(closedOnTrickle(c, "X-Y: z\r\n"));
        }
    }

    @Test
    void aClientThatWaitsForALateAnswerKeepsItsPlace() throws Exception {
        try (Peers p = new Peers(folder, "[clients]\nidle-close = 1 s\n", Peers::once);
                Socket c = p.client()) {
            Peers.say(c, Peers.look(""));
            Socket m = p.call();
            Peers.hear(m);
            // longer than it may be idle, and less than its route's time
            assertFalse(closedOnTrickle(c, "\r\n".repeat(1))
                    && p.events.stream().noneMatch(e -> e instanceof Event.AttemptEnded));
        }
    }

    @Test
    void nothingOfAClientTurnedAwayIsTaken() throws Exception {
        try (Peers p = new Peers(
                folder,
                "[clients]\nconnections = 1\n",
                (peers, e) -> e instanceof Event.RequestReceived r
                        ? List.of(new Action.FailRequest(r.requestId()))
                        : List.of())) {
            Socket in = p.client();
            Peers.say(in, Peers.look(""));
            Peers.hear(in);
            for (int i = 0; i < 300; i++) {
                try (Socket c = p.client()) {
                    Peers.say(c, Peers.look("X: " + i + "\r\n"));
                    assertTrue(Peers.hear(c).contains("Laurelkeel-Taken: no"));
                } catch (IOException e) {
                    // closed with what it sent unread: it has no answer, and may not have been taken either
                }
            }
            Peers.say(in, Peers.look(""));
            Peers.hear(in);
            assertEquals(
                    2,
                    p.events.stream()
                            .filter(e -> e instanceof Event.RequestReceived)
                            .count(),
                    "told: not taken");
        }
    }

    @Test
    void aClientThatPoursWhileTheLoopIsHeldUpWaitsToo() throws Exception {
        int admin = Ports.free();
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch stalled = new CountDownLatch(1);
        try (Peers p = new Peers(
                        folder, "[clients]\npipelined = 16\n", List.of("admin = 127.0.0.1:" + admin), (peers, e) -> {
                            if (e instanceof Event.RequestReceived r && r.partitionKey() != null) {
                                stalled.countDown();
                                try {
                                    held.await(30, TimeUnit.SECONDS);
                                } catch (InterruptedException x) {
                                    Thread.currentThread().interrupt();
                                }
                            }
                            return e instanceof Event.RequestReceived r
                                    ? List.of(new Action.RejectRequest(r.requestId(), 0))
                                    : List.of();
                        });
                Socket watch = new Socket("127.0.0.1", admin)) {
            Peers.say(p.client(), Peers.look("Laurelkeel-Key: stall\r\n"));
            assertTrue(stalled.await(10, TimeUnit.SECONDS));
            Socket c = p.client();
            String many = Peers.look("").repeat(1000);
            CompletableFuture<Integer> poured = CompletableFuture.supplyAsync(() -> {
                int n = 0;
                try {
                    for (; n < 300; n++) {
                        Peers.say(c, many);
                    }
                } catch (IOException e) {
                    // the test is over
                }
                return n;
            });
            double backlog = 0;
            for (int i = 0; i < 20 && !poured.isDone(); i++) {
                backlog = Math.max(backlog, Child.figure(watch, "laurelkeel_loop_backlog"));
                Thread.sleep(50);
            }
            backlog = Math.max(backlog, Child.figure(watch, "laurelkeel_loop_backlog"));
            held.countDown();
            // what one read of its socket holds may come on top
            assertTrue(backlog <= 16 + 2 * (16 << 10) / Peers.look("").length(), "waiting for the loop: " + backlog);
            for (int i = 0; i < 1000; i++) {
                assertTrue(Peers.hear(c).contains("shed"), "answer " + i);
            }
        }
    }

    @Test
    void aMachineGoneWithoutAWordCostsOneTimeOutAndNotOneAConnection() throws Exception {
        try (Peers p = new Peers(
                folder,
                "",
                (peers, e) -> e instanceof Event.RequestReceived r
                        ? List.of(new Action.SendAttempt(r.requestId(), peers.machineId(), 3_000))
                        : e instanceof Event.AttemptEnded t && !t.requestEnded()
                                ? List.of(new Action.FailRequest(t.requestId()))
                                : List.of())) {
            List<Socket> clients = new ArrayList<>();
            List<Socket> machine = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                clients.add(p.client());
                Peers.say(clients.get(i), Peers.look(""));
                machine.add(p.call());
                Peers.hear(machine.get(i));
            }
            for (int i = 0; i < 5; i++) {
                Peers.say(machine.get(i), OK);
                Peers.hear(clients.get(i));
            }
            // five are idle; from here on the machine says nothing on any of them
            Peers.say(clients.get(0), Peers.look(""));
            assertTrue(Peers.hear(clients.get(0)).startsWith("HTTP/1.1 502"));
            Peers.say(clients.get(1), Peers.look(""));
            Socket fresh = p.call();
            Peers.hear(fresh);
            Peers.say(fresh, OK);
            assertTrue(Peers.hear(clients.get(1)).endsWith("hi"), "an old connection was used");
            assertEquals(
                    1,
                    p.events.stream()
                            .filter(e -> e instanceof Event.AttemptEnded t && t.outcome() == AttemptOutcome.TIMED_OUT)
                            .count());
        }
    }

    @Test
    void anErrorThatKillsASocketThreadEndsTheFrontsLoop() throws Exception {
        Error made = new StackOverflowError("made");
        Base base = Base.of(Base.clock());
        Loop loop = base.loop();
        CompletableFuture<Throwable> ended = new CompletableFuture<>();
        Thread t = new Thread(() -> {
            try {
                loop.run(() -> false);
            } catch (RuntimeException | Error e) {
                ended.complete(e);
            }
        });
        t.setDaemon(true);
        t.start();
        java.nio.file.Files.writeString(folder.resolve("f.ini"), Peers.SETTINGS.formatted(""));
        FrontSettings set = FrontSettings.read(folder.resolve("f.ini"));
        OwnDialect words = new OwnDialect(
                new RouteTable(set.routes().entries(), List.of()),
                r -> {
                    throw made;
                },
                "0/a",
                "/health");
        Ingress in = new Ingress(set.ingress(), words, loop, base.socketThreads(), base.processors(1), null);
        InetSocketAddress at = in.open();
        try (Socket c = new Socket(at.getAddress(), at.getPort())) {
            Peers.say(c, Peers.look(""));
            assertSame(made, ended.get(10, TimeUnit.SECONDS));
        } finally {
            in.close();
        }
    }
}
