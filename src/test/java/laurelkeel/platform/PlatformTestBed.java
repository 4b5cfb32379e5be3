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
import java.util.function.LongSupplier;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.front.FrontNode;
import laurelkeel.front.FrontTestPeers;
import laurelkeel.front.FrontTestRig;
import laurelkeel.front.NodeRuntime;

/** A front node between a machine, a discovery and a release desk whose every byte a test writes. */
public final class PlatformTestBed implements AutoCloseable {
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

    /** A listener of one party, and its connections as they come. */
    public static final class FakeServer implements AutoCloseable {
        final ServerSocket at = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        final BlockingQueue<Socket> calls = new LinkedBlockingQueue<>();
        private final List<Socket> open = new CopyOnWriteArrayList<>();
        private final Thread accepts;

        public FakeServer() throws IOException {
            accepts = new Thread(() -> {
                try {
                    while (true) {
                        Socket s = at.accept();
                        s.setSoTimeout(10_000);
                        open.add(s);
                        calls.add(s);
                    }
                } catch (IOException e) {
                    // the test is over
                }
            });
            accepts.setDaemon(true);
            accepts.start();
        }

        public String address() {
            return "127.0.0.1:" + at.getLocalPort();
        }

        /** True where nobody has connected, less those that call has returned. */
        public boolean hasNoConnection() {
            return calls.isEmpty();
        }

        public Socket nextConnection() throws InterruptedException {
            Socket s = calls.poll(10, TimeUnit.SECONDS);
            if (s == null) {
                throw new AssertionError("nobody connected");
            }
            return s;
        }

        @Override
        public void close() throws IOException, InterruptedException {
            at.close();
            // until it has woken from its accept the kernel takes connections for it still, and it would keep one open
            accepts.join();
            for (Socket s : open) {
                s.close();
            }
        }
    }

    final FakeServer machine = new FakeServer(), discovery = new FakeServer(), desk = new FakeServer();
    final List<Event> events = new CopyOnWriteArrayList<>();
    final PlatformNode node;
    final FrontNode front;
    final String at;
    private final int sockets, voteTimeout;
    private final List<Socket> clients = new ArrayList<>();

    PlatformTestBed(BiFunction<PlatformTestBed, Event, List<Action>> decide) throws Exception {
        this(1024, 5000, decide);
    }

    PlatformTestBed(int sockets, int voteTimeout, BiFunction<PlatformTestBed, Event, List<Action>> decide)
            throws Exception {
        this(sockets, voteTimeout, NodeRuntime.monotonicClock(), decide);
    }

    PlatformTestBed(
            int sockets, int voteTimeout, LongSupplier clock, BiFunction<PlatformTestBed, Event, List<Action>> decide)
            throws Exception {
        this.sockets = sockets;
        this.voteTimeout = voteTimeout;
        node = PlatformNode.create(
                config(discovery, desk),
                (set, seed) -> FrontTestPeers.decider(events, e -> decide.apply(this, e)),
                clock);
        front = node.frontNode();
        at = "127.0.0.1:" + front.start().getPort();
    }

    NodeConfiguration config(FakeServer discoveryAt, FakeServer deskAt) throws Exception {
        String json = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discoveryAt.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"rollouts\":{\"address\":\"" + deskAt.address() + "\",\"news\":{\"build\":1,\"stage\":0,"
                + "\"phase\":\"Healthy\",\"cap\":1.0,\"age_ms\":50}},\"known\":"
                + list(1, true, entry("active", 1, machine))
                + ",\"settings\":" + SETTINGS.formatted(voteTimeout) + "}";
        return NodeConfiguration.of(new ObjectMapper().readTree(json), Map.of());
    }

    String entry(String state, int build, FakeServer addr) {
        return entry("s-1", state, build, addr);
    }

    String entry(String id, String state, int build, FakeServer addr) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + addr.address()
                + "\",\"zone\":\"b\",\"kind\":\"m2\",\"cell\":3,\"state\":\"" + state
                + "\",\"weight\":1.5,\"started_ms\":0,\"revision_no\":" + build + "}";
    }

    static String list(int version, boolean full, String... entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    /** Sends each req once to the machine and errors it if that fails. */
    static List<Action> once(PlatformTestBed p, Event e) {
        if (e instanceof Event.RequestReceived r) {
            return List.of(new Action.SendAttempt(r.requestId(), "s-1", 0));
        }
        return e instanceof Event.AttemptEnded t && !t.requestEnded()
                ? List.of(new Action.FailRequest(t.requestId()))
                : List.of();
    }

    static List<Action> nothing(PlatformTestBed p, Event e) {
        return List.of();
    }

    Socket client() throws IOException {
        Socket s = new Socket("127.0.0.1", Integer.parseInt(at.substring(at.indexOf(':') + 1)));
        s.setSoTimeout(10_000);
        clients.add(s);
        return s;
    }

    static String look(String id, String more) {
        return "GET /look?a=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
                + "\r\nX-Account: acme\r\nX-Time-Left: 4.5\r\n" + more + "\r\n";
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static void say(Socket s, String text) throws IOException {
        FrontTestPeers.say(s, text);
    }

    /** The watch that discovery was asked for, with its answer's head and these lines written. */
    Socket watch(String... lines) throws Exception {
        Socket s = discovery.nextConnection();
        hear(s);
        say(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (String l : lines) {
            say(s, chunk(l + "\n"));
        }
        return s;
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** As Peers.hear, and a connection that was reset has ended too. */
    static String hear(Socket s) throws IOException {
        return FrontTestPeers.hear(new FilterInputStream(s.getInputStream()) {
            @Override
            public int read() throws IOException {
                try {
                    return super.read();
                } catch (SocketException e) {
                    return -1;
                }
            }
        });
    }

    public static BufferedReader lines(Socket s) throws IOException {
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
    }

    <E extends Event> List<E> all(Class<E> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Waits until so many events of a kind have come, and returns the last of them. */
    <E extends Event> E event(Class<E> kind, int count) {
        await(count + " of " + kind.getSimpleName(), () -> all(kind).size() >= count);
        return all(kind).get(count - 1);
    }

    static void await(String what, BooleanSupplier held) {
        FrontTestRig.await(what, held);
    }

    @Override
    public void close() throws Exception {
        for (Socket s : clients) {
            s.close();
        }
        front.drain();
        machine.close();
        discovery.close();
        desk.close();
        front.termination().get(30, TimeUnit.SECONDS);
    }
}
