package laurelkeel.front;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.audit.AuditReport;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.controlplane.GossipChannel;
import laurelkeel.records.RecordTerms;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.PortAllocator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A node's handling of the messages of a scripted control plane. */
class ControlPlaneTest {
    private static final String ACTIVE_ENDPOINT =
            "{\"machine\":\"127.0.0.1:9\",\"build\":4,\"zone\":\"here\",\"state\":\"live\","
                    + "\"run\":%d,\"ageMs\":%s,\"size\":1}";

    @TempDir
    Path directory;

    private HttpServer server;
    private final Map<String, BlockingQueue<String>> linesByPath = Map.of(
            "/list/watch",
            new LinkedBlockingQueue<>(),
            "/list",
            new LinkedBlockingQueue<>(),
            "/release/watch",
            new LinkedBlockingQueue<>(),
            "/release/votes",
            new LinkedBlockingQueue<>());
    private final List<String> requestedUris = new CopyOnWriteArrayList<>();

    @BeforeEach
    void startServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10);
        server.setExecutor(Executors.newCachedThreadPool());
        linesByPath.forEach((path, lines) -> server.createContext(path, exchange -> {
            if (exchange.getRequestURI().getPath().equals(path)) {
                requestedUris.add(exchange.getRequestURI().toString());
                answer(exchange, path, lines);
            }
            exchange.close();
        }));
        server.start();
    }

    private static void answer(HttpExchange exchange, String path, BlockingQueue<String> lines) throws IOException {
        try {
            if (path.endsWith("watch")) {
                exchange.sendResponseHeaders(200, 0);
                for (String line = "{\"kind\":\"beat\"}";
                        !"cut".equals(line);
                        line = lines.poll(20, TimeUnit.SECONDS)) {
                    exchange.getResponseBody().write((line + "\n").getBytes(StandardCharsets.UTF_8));
                    exchange.getResponseBody().flush();
                }
            } else {
                String line = lines.poll(20, TimeUnit.SECONDS);
                byte[] body = line.getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(line.equals("no") ? 500 : 200, body.length);
                exchange.getResponseBody().write(body);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @AfterEach
    void stopServer() {
        server.stop(0);
        ((ExecutorService) server.getExecutor()).shutdownNow();
    }

    private String sourceSections(String mode) {
        return "[list]\nmode = " + mode + "\naddress = 127.0.0.1:"
                + server.getAddress().getPort() + "\n[release]\naddress = 127.0.0.1:"
                + server.getAddress().getPort() + "\n";
    }

    private static List<Event.EndpointListUpdate> listUpdates(FrontTestPeers peers) {
        return peers.events.stream()
                .filter(e -> e instanceof Event.EndpointListUpdate)
                .map(e -> (Event.EndpointListUpdate) e)
                .toList();
    }

    @Test
    void listUpdatesApplyAGapIsFetchedAndARestartReadsTheCachedList() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(directory, sourceSections("push"), (self, e) -> List.of())) {
            BlockingQueue<String> watch = linesByPath.get("/list/watch");
            watch.add("{\"kind\":\"full\",\"version\":7,\"machines\":[" + ACTIVE_ENDPOINT.formatted(1, "500") + "]}");
            watch.add("no json");
            watch.add("{\"kind\":\"changes\",\"version\":8,\"previous\":7,\"machines\":["
                    + ACTIVE_ENDPOINT.formatted(1, "900").replace("live", "draining") + "]}");
            watch.add("{\"kind\":\"changes\",\"version\":12,\"previous\":11,\"machines\":[]}");
            linesByPath
                    .get("/list")
                    .add("{\"kind\":\"full\",\"version\":12,\"machines\":[" + ACTIVE_ENDPOINT.formatted(2, "0") + "]}");
            FrontTestRig.await("four list updates", () -> listUpdates(peers).size() == 4);
            List<Event.EndpointListUpdate> updates = listUpdates(peers);
            assertEquals(
                    List.of(
                            EndpointListKind.CACHED,
                            EndpointListKind.SNAPSHOT,
                            EndpointListKind.DELTA,
                            EndpointListKind.SNAPSHOT),
                    updates.stream().map(Event.EndpointListUpdate::kind).toList());
            assertEquals(List.of(), updates.get(0).entries());
            Event.EndpointEntry first = updates.get(1).entries().get(0);
            assertEquals(EndpointState.DRAINING, updates.get(2).entries().get(0).state());
            assertEquals(
                    first.startedAtTicks(),
                    updates.get(2).entries().get(0).startedAtTicks(),
                    "two ages of the same start");
            assertTrue(
                    updates.get(3).entries().get(0).startedAtTicks() > first.startedAtTicks(),
                    "a new incarnation is a new start");
            watch.add("cut");
            FrontTestRig.await(
                    "the watch is reopened after the last version",
                    () -> requestedUris.contains("/list/watch?after=12"));
            FrontTestRig.await("the list is stored", () -> Files.exists(directory.resolve("state/list.json")));
        }
        try (FrontTestPeers peers = new FrontTestPeers(directory, "", (self, e) -> List.of())) {
            Event.EndpointListUpdate cached = peers.firstEvent(Event.EndpointListUpdate.class);
            assertEquals(EndpointListKind.CACHED, cached.kind());
            assertEquals("127.0.0.1:9", cached.entries().get(0).endpointId());
        }
    }

    @Test
    void aPolledListIsOnlyFetchedOnDemandAndFailuresAreReported() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(
                        directory,
                        sourceSections("ask"),
                        (self, e) -> e instanceof Event.RequestReceived request
                                ? List.of(
                                        request.clientRetry()
                                                ? new Action.FetchEndpoints()
                                                : new Action.WatchEndpoints(true),
                                        new Action.FailRequest(request.requestId()))
                                : List.of());
                Socket client = peers.connectClient()) {
            peers.firstEvent(Event.EndpointListUpdate.class);
            assertTrue(requestedUris.stream().noneMatch(a -> a.startsWith("/list")));
            linesByPath.get("/list").add("no");
            FrontTestPeers.send(client, FrontTestPeers.lookRequest("Laurelkeel-Repeat: 1\r\n"));
            FrontTestRig.await(
                    "the failed fetch is reported", () -> listUpdates(peers).size() == 2);
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            linesByPath.get("/list/watch").add("{\"kind\":\"full\",\"version\":1,\"machines\":[]}");
            FrontTestRig.await("the list arrives", () -> listUpdates(peers).size() == 3);
            linesByPath.get("/list/watch").add("cut");
            FrontTestRig.await(
                    "the broken watch is reported", () -> listUpdates(peers).size() == 4);
            assertEquals(
                    List.of(
                            EndpointListKind.CACHED,
                            EndpointListKind.FAILED,
                            EndpointListKind.SNAPSHOT,
                            EndpointListKind.FAILED),
                    listUpdates(peers).stream()
                            .map(Event.EndpointListUpdate::kind)
                            .toList());
        }
    }

    @Test
    void rolloutUpdatesStatisticsAndVoteResponsesBecomeEvents() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(
                        directory,
                        sourceSections("push"),
                        (self, e) -> e instanceof Event.RequestReceived request
                                ? List.of(
                                        new Action.CastVote(9, 1, Verdict.ROLL_BACK),
                                        new Action.FailRequest(request.requestId()))
                                : List.of());
                Socket client = peers.connectClient()) {
            linesByPath
                    .get("/release/watch")
                    .add("{\"kind\":\"news\",\"build\":9,\"stage\":1,\"cap\":0.4,\"phase\":"
                            + "\"going-back\",\"ageMs\":100}");
            linesByPath
                    .get("/release/watch")
                    .add("{\"kind\":\"counts\",\"build\":9,\"route\":1,\"tries\":50,\"errors\":3,"
                            + "\"meanMs\":12.5,\"ageMs\":40}");
            Event.RolloutUpdate update = peers.firstEvent(Event.RolloutUpdate.class);
            assertEquals(Event.RolloutPhase.ROLLING_BACK, update.phase());
            assertTrue(update.ageTicks() >= 1000
                    && !update.answersVote()
                    && update.build() == 9
                    && update.exposureCap() == 0.4);
            Event.BuildStatistics statistics = peers.firstEvent(Event.BuildStatistics.class);
            assertEquals(
                    List.of(50L, 3L, 125L),
                    List.of(statistics.attempts(), statistics.errors(), statistics.meanDurationTicks()));
            List<Event.ControlStatus> statuses = new ArrayList<>();
            for (String answer : List.of("ok", "moot", "over-limit", "error", "no", "late")) {
                if (!answer.equals("late")) {
                    linesByPath
                            .get("/release/votes")
                            .add(
                                    answer.equals("no")
                                            ? answer
                                            : "{\"answer\":\"" + answer + "\",\"build\":9,"
                                                    + "\"stage\":1,\"cap\":0.4,\"phase\":\"trial\",\"ageMs\":1}");
                }
                FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
                FrontTestPeers.receive(client);
                int expectedUpdates = statuses.size() + 2;
                FrontTestRig.await(
                        "vote response " + answer,
                        () -> peers.events.stream()
                                        .filter(e -> e instanceof Event.RolloutUpdate)
                                        .count()
                                == expectedUpdates);
                statuses.add(peers.events.stream()
                        .filter(e -> e instanceof Event.RolloutUpdate rollout && rollout.answersVote())
                        .map(e -> ((Event.RolloutUpdate) e).status())
                        .reduce((first, second) -> second)
                        .orElseThrow());
            }
            assertEquals(
                    List.of(
                            Event.ControlStatus.OK,
                            Event.ControlStatus.STALE,
                            Event.ControlStatus.RATE_LIMITED,
                            Event.ControlStatus.FAILED,
                            Event.ControlStatus.FAILED,
                            Event.ControlStatus.TIMED_OUT),
                    statuses);
        }
    }

    @Test
    void invalidLinesAreSkippedAndTheWatchContinues() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(directory, sourceSections("push"), (self, e) -> List.of())) {
            BlockingQueue<String> list = linesByPath.get("/list/watch");
            list.add("null");
            list.add("[]");
            list.add("{\"kind\":\"full\",\"version\":3,\"machines\":[null]}");
            list.add("{\"version\":3,\"machines\":[]}");
            list.add("{\"kind\":\"full\",\"version\":3,\"machines\":[{\"build\":4}]}");
            list.add("{\"kind\":\"full\",\"version\":7,\"machines\":[" + ACTIVE_ENDPOINT.formatted(1, "500") + "]}");
            BlockingQueue<String> rollout = linesByPath.get("/release/watch");
            rollout.add("null");
            rollout.add("{\"kind\":\"news\",\"build\":9,\"stage\":0,\"cap\":0.4}");
            rollout.add("{\"kind\":\"news\",\"build\":9,\"stage\":0,\"cap\":0.4,\"phase\":\"perhaps\"}");
            rollout.add("{\"kind\":\"news\",\"build\":9,\"stage\":-1,\"cap\":0.4,\"phase\":\"trial\"}");
            rollout.add("{\"kind\":\"news\",\"build\":9,\"stage\":0,\"cap\":7,\"phase\":\"trial\"}");
            rollout.add("{\"kind\":\"news\",\"build\":9,\"phase\":\"trial\",\"standing\":[null]}");
            rollout.add("{\"kind\":\"news\",\"build\":9,\"stage\":1,\"cap\":0.4,\"phase\":\"trial\"}");
            assertEquals(1, peers.firstEvent(Event.RolloutUpdate.class).stage());
            FrontTestRig.await(
                    "the valid list arrives", () -> listUpdates(peers).size() == 2);
            assertEquals(4, listUpdates(peers).get(1).entries().get(0).build());
            assertTrue(!peers.front.termination().isDone());
        }
    }

    @Test
    void aListWithAGapInEachUpdateIsFetchedOnceAtATime() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(directory, sourceSections("push"), (self, e) -> List.of())) {
            BlockingQueue<String> watch = linesByPath.get("/list/watch");
            for (int i = 0; i < 500; i++) {
                watch.add("{\"kind\":\"changes\",\"version\":" + (100 + 2 * i) + ",\"previous\":" + (99 + 2 * i)
                        + ",\"machines\":[]}");
            }
            FrontTestRig.await("all lines are read", watch::isEmpty);
            watch.add("{\"kind\":\"full\",\"version\":5000,\"machines\":[]}");
            FrontTestRig.await(
                    "the snapshot that follows", () -> listUpdates(peers).size() == 2);
            assertEquals(
                    1,
                    requestedUris.stream().filter(a -> a.equals("/list")).count(),
                    "no second fetch while the first is pending");
            linesByPath.get("/list").add("no");
        }
    }

    @Test
    void aVoteWhoseResponseNeverEndsTimesOut() throws Exception {
        server.removeContext("/release/votes");
        server.createContext("/release/votes", exchange -> {
            exchange.sendResponseHeaders(200, 0);
            try {
                for (int i = 0; i < 2000; i++) {
                    exchange.getResponseBody().write(' ');
                    exchange.getResponseBody().flush();
                    Thread.sleep(10);
                }
            } catch (IOException | InterruptedException e) {
                // expected: the node cancels the vote's request
            }
            exchange.close();
        });
        try (FrontTestPeers peers = new FrontTestPeers(
                        directory,
                        sourceSections("push"),
                        (self, e) -> e instanceof Event.RequestReceived request
                                ? List.of(
                                        new Action.CastVote(9, 1, Verdict.ROLL_BACK),
                                        new Action.FailRequest(request.requestId()))
                                : List.of());
                Socket client = peers.connectClient()) {
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            assertEquals(
                    Event.ControlStatus.TIMED_OUT,
                    peers.firstEvent(Event.RolloutUpdate.class).status());
        }
    }

    @Test
    void aWatchWithoutHeartbeatsIsReopened() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(directory, sourceSections("push"), (self, e) -> List.of())) {
            // each watch sends one heartbeat and nothing more
            FrontTestRig.await(
                    "the watch of the endpoint list is reopened",
                    () -> requestedUris.stream()
                                    .filter(a -> a.startsWith("/list/watch"))
                                    .count()
                            > 1);
            FrontTestRig.await(
                    "the watch of rollouts is reopened",
                    () -> requestedUris.stream()
                                    .filter(a -> a.startsWith("/release/watch"))
                                    .count()
                            > 1);
            assertFalse(peers.front.termination().isDone());
        }
    }

    @Test
    void aWatchWithAnEndlessLineIsClosed() throws Exception {
        byte[] chunk = "x".repeat(1 << 20).getBytes(StandardCharsets.US_ASCII);
        AtomicLong sentBytes = new AtomicLong();
        CountDownLatch closed = new CountDownLatch(1);
        server.removeContext("/list/watch");
        server.createContext("/list/watch", exchange -> {
            try {
                exchange.sendResponseHeaders(200, 0);
                for (int i = 0; i < 2_000; i++) {
                    exchange.getResponseBody().write(chunk);
                    sentBytes.addAndGet(chunk.length);
                }
            } catch (IOException e) {
                closed.countDown();
            }
            exchange.close();
        });
        try (FrontTestPeers peers = new FrontTestPeers(directory, sourceSections("push"), (self, e) -> List.of())) {
            assertTrue(closed.await(20, TimeUnit.SECONDS), "bytes sent: " + sentBytes);
            assertTrue(sentBytes.get() < 64 << 20, "bytes sent: " + sentBytes);
            assertFalse(peers.front.termination().isDone());
        }
    }

    @Test
    void gossipReachesTheOtherNodeAndOtherPacketsAreIgnored() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        InetSocketAddress firstAddress = new InetSocketAddress(loopback, PortAllocator.allocate());
        InetSocketAddress secondAddress = new InetSocketAddress(loopback, PortAllocator.allocate());
        Map<Integer, InetSocketAddress> addresses = Map.of(0, firstAddress, 1, secondAddress);
        EventLoop loop = new EventLoop(() -> System.nanoTime() / 100_000);
        Thread loopThread = new Thread(() -> loop.run(() -> false));
        loopThread.start();
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        GossipChannel first = new GossipChannel(
                0,
                firstAddress,
                addresses,
                loop,
                Executors.newCachedThreadPool(),
                (from, bytes) -> received.add(from + ":" + bytes.length));
        GossipChannel second = new GossipChannel(
                1,
                secondAddress,
                addresses,
                loop,
                Executors.newCachedThreadPool(),
                (from, bytes) -> received.add(from + ":" + bytes.length));
        first.open();
        second.open();
        try (DatagramSocket stranger = new DatagramSocket()) {
            stranger.send(new DatagramPacket("LK1\0\0\0\7x".getBytes(UTF_8), 8, secondAddress));
            stranger.send(new DatagramPacket("noise".getBytes(UTF_8), 5, secondAddress));
            first.send(-1, new byte[256]);
            assertEquals("0:256", received.poll(10, TimeUnit.SECONDS));
            second.send(0, new byte[0]);
            assertEquals("1:0", received.poll(10, TimeUnit.SECONDS));
            assertTrue(received.isEmpty());
            assertThrows(IllegalArgumentException.class, () -> first.send(1, new byte[257]));
        } finally {
            first.close();
            second.close();
            loop.stop();
            loopThread.join();
        }
    }

    @Test
    void nodesWhoseClocksDifferKeepTheRulesDuringARollout() throws Exception {
        LongSupplier clock = NodeRuntime.monotonicClock();
        try (FrontTestRig rig = new FrontTestRig(
                directory, "", 2, 5, RoutingDecider::new, true, clock, () -> clock.getAsLong() + 99_999_999_999L)) {
            rig.startLoad();
            rig.applyFault("what = offer\nbuild = 2\n");
            FrontTestRig.await(
                    "build 2 is released",
                    () -> rig.count(
                                    TrafficRecord.RolloutStageChanged.class,
                                    s -> s.build() == 2 && s.phase() == RecordTerms.RolloutPhase.RELEASED)
                            > 0);
            AuditReport report = rig.audit();
            assertEquals(List.of(), report.violations());
            assertEquals(0, report.unansweredCount());
        }
    }
}
