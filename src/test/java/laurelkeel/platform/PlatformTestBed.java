package laurelkeel.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.front.FrontNode;
import laurelkeel.front.FrontTestPeers;
import laurelkeel.front.FrontTestRig;
import laurelkeel.front.NodeRuntime;

/** A front node with a fake endpoint, discovery and control service; a test writes every byte that these send. */
public final class PlatformTestBed implements AutoCloseable {
    /** The settings of a configuration, as a format string whose argument is the vote timeout in milliseconds. */
    public static final String SETTINGS =
            """
            {"selfIndex":0,"balancers":2,"zone":0,"zones":["a","b"],"kinds":["m1","m2"],"membershipMode":"push",
             "services":[{"name":"look","effect":"safe","onTime":300.0,"deadline":5000.0,"points":2.0},
              {"name":"pay","effect":"keyed","dedupScope":"all","onTime":300.0,"deadline":5000.0,"points":1.0,
               "repeatWindow":1000.0}],
             "orgs":[{"name":"acme","quotaRps":100.0}],
             "allowed":{"maxAttempts":4,"mayProbe":true,"cancel":true,"retryAfter":true,"maxRetryAfter":500.0,
              "dialTimeout":1000.0,"idleClose":15000.0,"maxOpen":2000},
             "rules":{"drainGrace":1000.0,"cold":4000.0,"coldFrom":0.4,"tipAfter":3000.0,"tipMultiple":2.5},
             "familyInfo":{"gateMode":"by_count","votesToGo":1,"noesNeeded":1,"stageCap":[0.1,0.5,1.0],
              "callTimeout":%d.0,"voteTtl":6000.0,"votesPerS":100.0,"countedOver":4000.0,"uncounted":3.0}}""";

    static final String WATCH_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final int DEFAULT_MAX_SOCKETS = 1024;
    private static final int DEFAULT_VOTE_TIMEOUT_MILLIS = 5_000;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    /** A server that accepts connections and leaves everything else to the test. */
    public static final class FakeServer implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        final BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();
        private final List<Socket> accepted = new CopyOnWriteArrayList<>();
        private final Thread acceptor;

        public FakeServer() throws IOException {
            acceptor = new Thread(() -> {
                try {
                    while (true) {
                        Socket connection = listener.accept();
                        connection.setSoTimeout(READ_TIMEOUT_MILLIS);
                        accepted.add(connection);
                        connections.add(connection);
                    }
                } catch (IOException ignored) {
                    // the test is over
                }
            });
            acceptor.setDaemon(true);
            acceptor.start();
        }

        public String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Returns whether there is no connection that {@link #nextConnection} has not returned yet. */
        public boolean hasNoConnection() {
            return connections.isEmpty();
        }

        /** Returns the number of connections accepted so far. */
        int acceptedConnections() {
            return accepted.size();
        }

        /** Removes and returns the connections that {@link #nextConnection} has not returned yet. */
        List<Socket> takeConnections() {
            List<Socket> taken = new ArrayList<>();
            connections.drainTo(taken);
            return taken;
        }

        /** Waits for the next connection and returns it. */
        public Socket nextConnection() throws InterruptedException {
            Socket connection = connections.poll(10, TimeUnit.SECONDS);
            if (connection == null) {
                throw new AssertionError("no connection arrived in time");
            }
            return connection;
        }

        @Override
        public void close() throws IOException {
            stop();
        }

        /** Closes the listener and every connection that it has accepted. */
        void stop() throws IOException {
            listener.close();
            // until accept has returned, the kernel still accepts connections for the listener, and one would stay open
            joinAcceptor();
            for (Socket connection : accepted) {
                connection.close();
            }
        }

        private void joinAcceptor() {
            try {
                acceptor.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    final FakeServer endpoint = new FakeServer();
    final FakeServer discovery = new FakeServer();
    final FakeServer controlService = new FakeServer();
    final List<Event> events = new CopyOnWriteArrayList<>();
    final PlatformNode node;
    final FrontNode front;
    private final int port;
    private final int maxSockets;
    private final int voteTimeoutMillis;
    private final List<Socket> clients = new ArrayList<>();

    PlatformTestBed(BiFunction<PlatformTestBed, Event, List<Action>> decide) throws Exception {
        this(DEFAULT_MAX_SOCKETS, DEFAULT_VOTE_TIMEOUT_MILLIS, decide);
    }

    PlatformTestBed(int maxSockets, int voteTimeoutMillis, BiFunction<PlatformTestBed, Event, List<Action>> decide)
            throws Exception {
        this(maxSockets, voteTimeoutMillis, NodeRuntime.monotonicClock(), decide);
    }

    PlatformTestBed(
            int maxSockets,
            int voteTimeoutMillis,
            LongSupplier clockTicks,
            BiFunction<PlatformTestBed, Event, List<Action>> decide)
            throws Exception {
        this(
                maxSockets,
                voteTimeoutMillis,
                clockTicks,
                (testBed) -> (settings, seed) ->
                        FrontTestPeers.decider(testBed.events, event -> decide.apply(testBed, event)));
    }

    /** Creates a test bed whose node has a decider of the given kind. */
    PlatformTestBed(
            int maxSockets,
            int voteTimeoutMillis,
            LongSupplier clockTicks,
            Function<PlatformTestBed, Decider.Factory> deciders)
            throws Exception {
        this.maxSockets = maxSockets;
        this.voteTimeoutMillis = voteTimeoutMillis;
        node = PlatformNode.create(configuration(discovery, controlService), deciders.apply(this), clockTicks);
        front = node.frontNode();
        port = front.start().getPort();
    }

    NodeConfiguration configuration(FakeServer discoveryServer, FakeServer controlServiceServer) throws Exception {
        String json = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discoveryServer.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                + maxSockets
                + "},\"rollouts\":{\"address\":\"" + controlServiceServer.address()
                + "\",\"news\":{\"build\":1,\"stage\":0,"
                + "\"phase\":\"Healthy\",\"cap\":1.0,\"age_ms\":50}},\"known\":"
                + listJson(1, true, "active", 1)
                + ",\"settings\":" + SETTINGS.formatted(voteTimeoutMillis) + "}";
        return NodeConfiguration.of(new ObjectMapper().readTree(json), Map.of());
    }

    String entryJson(String state, int build, FakeServer server) {
        return entryJson("s-1", state, build, server);
    }

    String entryJson(String id, String state, int build, FakeServer server) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + server.address()
                + "\",\"zone\":\"b\",\"kind\":\"m2\",\"cell\":3,\"state\":\"" + state
                + "\",\"weight\":1.5,\"started_ms\":0,\"revision_no\":" + build + "}";
    }

    /** Returns a list whose only entry is the endpoint. */
    String listJson(int version, boolean complete, String state, int build) {
        return listJson(version, complete, entryJson(state, build, endpoint));
    }

    static String listJson(int version, boolean complete, String... entries) {
        return "{\"version\":" + version + ",\"full\":" + complete + ",\"servers\":[" + String.join(",", entries)
                + "]}";
    }

    /** Sends each request once to the endpoint and fails it if that fails. */
    static List<Action> sendOnce(PlatformTestBed testBed, Event event) {
        if (event instanceof Event.RequestReceived request) {
            return List.of(new Action.SendAttempt(request.requestId(), "s-1", 0));
        }
        return event instanceof Event.AttemptEnded attempt && !attempt.requestEnded()
                ? List.of(new Action.FailRequest(attempt.requestId()))
                : List.of();
    }

    static List<Action> doNothing(PlatformTestBed testBed, Event event) {
        return List.of();
    }

    Socket connectClient() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        clients.add(socket);
        return socket;
    }

    static String getRequest(String id, String furtherHeaders) {
        return "GET /look?a=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
                + "\r\nX-Account: acme\r\nX-Time-Left: 4.5\r\n" + furtherHeaders + "\r\n";
    }

    static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns each character of a text as a string. */
    static List<String> characters(String text) {
        return text.codePoints().mapToObj(Character::toString).toList();
    }

    static void send(Socket socket, String text) throws IOException {
        FrontTestPeers.send(socket, text);
    }

    /** Accepts the watch on discovery, and sends the head of the response and the given lines. */
    Socket acceptWatch(String... lines) throws Exception {
        Socket socket = discovery.nextConnection();
        receive(socket);
        send(socket, WATCH_RESPONSE_HEAD);
        for (String line : lines) {
            send(socket, chunk(line + "\n"));
        }
        return socket;
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Receives one message; returns &lt;end&gt; if the connection has ended or was reset. */
    static String receive(Socket socket) throws IOException {
        return FrontTestPeers.receive(new FilterInputStream(socket.getInputStream()) {
            @Override
            public int read() throws IOException {
                try {
                    return super.read();
                } catch (SocketException e) {
                    return -1;
                }
            }

            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                try {
                    return super.read(bytes, offset, length);
                } catch (SocketException e) {
                    return -1;
                }
            }
        });
    }

    /** Returns a reader for the lines that arrive on a connection. */
    public static BufferedReader lineReader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    <E extends Event> List<E> eventsOf(Class<E> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Votes on build 42 at the first request, on 43 at the second, and so on; rejects each request. */
    static List<Action> voteOnEachRequest(PlatformTestBed testBed, Event event) {
        if (event instanceof Event.RequestReceived request) {
            int build = 41 + testBed.eventsOf(Event.RequestReceived.class).size();
            return List.of(
                    new Action.CastVote(build, 1, Verdict.ROLL_BACK), new Action.RejectRequest(request.requestId(), 0));
        }
        return List.of();
    }

    /** Waits until the given number of votes have been answered, and returns the last of these replies. */
    Event.RolloutUpdate awaitVoteReply(int count) {
        await(count + " votes answered", () -> voteReplies().size() >= count);
        return voteReplies().get(count - 1);
    }

    private List<Event.RolloutUpdate> voteReplies() {
        return eventsOf(Event.RolloutUpdate.class).stream()
                .filter(Event.RolloutUpdate::answersVote)
                .toList();
    }

    /** Returns the response to a health check; empty if the connection has ended. */
    static String getHealth(Socket socket) {
        try {
            send(socket, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
            return receive(socket);
        } catch (IOException e) {
            return "";
        }
    }

    /** Waits until the given number of events of a type have occurred, and returns the last of them. */
    <E extends Event> E awaitEvent(Class<E> kind, int count) {
        await(count + " of " + kind.getSimpleName(), () -> eventsOf(kind).size() >= count);
        return eventsOf(kind).get(count - 1);
    }

    static void await(String what, BooleanSupplier condition) {
        FrontTestRig.await(what, condition);
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : clients) {
            socket.close();
        }
        front.drain();
        endpoint.close();
        discovery.close();
        controlService.close();
        front.termination().copy().orTimeout(30, TimeUnit.SECONDS).join();
    }
}
