package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import laurelkeel.decision.RoutingDecider;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Rules 1 and 2 over real sockets: a node with the production decider between endpoints that misbehave at random and
 * clients that pipeline, disconnect and have short deadlines. The rules are checked against the responses that clients
 * received and the requests that endpoints recorded as run.
 */
class FrontRulesTest {
    /** A request of one client, which expects responses in the order of its requests. */
    private record SentRequest(String id, String route) {}

    private static final class NodeWithEndpoints implements AutoCloseable {
        final Path folder;
        final long seed;
        final List<ServerSocket> endpointServers = new ArrayList<>();
        final List<Socket> openSockets = new CopyOnWriteArrayList<>();
        /** The times at which endpoints ran each request, by its id, in nanoseconds. */
        final Map<String, List<Long>> runTimesNanos = new ConcurrentHashMap<>();

        final Map<String, String> routesById = new ConcurrentHashMap<>();
        final List<String> violations = Collections.synchronizedList(new ArrayList<>());
        final FrontNode front;
        final InetSocketAddress address;

        NodeWithEndpoints(long seed) throws Exception {
            this.seed = seed;
            folder = Files.createTempDirectory("front-rules");
            StringBuilder list = new StringBuilder();
            for (int i = 0; i < 3; i++) {
                ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
                endpointServers.add(server);
                int number = i;
                start(() -> accept(server, number));
                list.append(i == 0 ? "[" : ",")
                        .append(FrontTestPeers.endpointJson("127.0.0.1:" + server.getLocalPort(), "live"));
            }
            Files.createDirectories(folder.resolve("state"));
            Files.writeString(folder.resolve("state/list.json"), list + "]");
            Files.writeString(
                    folder.resolve("f.ini"),
                    FrontTestPeers.SETTINGS.formatted("")
                            + """
                    [route put]
                    path = /put
                    method = POST
                    effect = non-retriable
                    objective = 300 ms
                    timeout = 5 s
                    """);
            front = new FrontNode(FrontSettings.read(folder.resolve("f.ini")), RoutingDecider::new);
            address = front.start();
        }

        static void start(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        private void accept(ServerSocket server, int number) {
            try {
                for (int n = 0; ; n++) {
                    Socket socket = server.accept();
                    openSockets.add(socket);
                    long connectionSeed = seed * 31 + number * 1000L + n;
                    start(() -> serve(socket, new Random(connectionSeed)));
                }
            } catch (IOException e) {
                // the test has ended
            }
        }

        private void serve(Socket socket, Random random) {
            try (socket) {
                while (true) {
                    String request = FrontTestPeers.receive(socket);
                    if (request.endsWith("<end>")) {
                        return;
                    }
                    int behaviour = random.nextInt(12);
                    if (behaviour == 0) {
                        FrontTestPeers.send(
                                socket, "HTTP/1.1 503 No\r\nLaurelkeel-Ran: no\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                    String id = request.replaceAll("(?s).*X-Request-Id: (\\S+).*", "$1");
                    runTimesNanos
                            .computeIfAbsent(id, k -> Collections.synchronizedList(new ArrayList<>()))
                            .add(System.nanoTime());
                    if (behaviour == 1) {
                        return;
                    } else if (behaviour == 2) {
                        FrontTestPeers.send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
                        return;
                    } else if (behaviour == 3) {
                        FrontTestPeers.send(socket, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
                    } else if (behaviour == 4) {
                        // sends no response: the node must close the connection
                        socket.getInputStream().read();
                        return;
                    } else {
                        FrontTestPeers.send(
                                socket, "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id);
                        if (behaviour == 5) {
                            // closes a connection that the node treats as idle
                            return;
                        }
                    }
                }
            } catch (IOException e) {
                // the node closed the connection
            }
        }

        /** Runs one client: sends some pipelined requests, then reads all their responses. */
        private void runClient(int number, Random random) throws IOException {
            Socket socket = new Socket(address.getAddress(), address.getPort());
            openSockets.add(socket);
            socket.setSoTimeout(8_000);
            List<SentRequest> sentRequests = new ArrayList<>();
            StringBuilder text = new StringBuilder();
            int n = 1 + random.nextInt(4);
            for (int i = 0; i < n; i++) {
                String id = "c" + number + "-" + i;
                String route = new String[] {"look", "pay", "put"}[random.nextInt(3)];
                long remainingMillis = 60L + random.nextInt(900);
                routesById.put(id, route);
                sentRequests.add(new SentRequest(id, route));
                text.append(route.equals("look") ? "GET" : "POST")
                        .append(" /")
                        .append(route)
                        .append(" HTTP/1.1\r\nHost: f\r\n")
                        .append("X-Request-Id: ")
                        .append(id)
                        .append("\r\nIdempotency-Key: ")
                        .append(id)
                        .append("\r\nLaurelkeel-Remaining-Ms: ")
                        .append(remainingMillis)
                        .append(route.equals("look") ? "\r\n\r\n" : "\r\nContent-Length: 2\r\n\r\nhi");
            }
            FrontTestPeers.send(socket, text.toString());
            if (random.nextInt(8) == 0) {
                socket.close();
                return;
            }
            for (SentRequest sent : sentRequests) {
                try {
                    checkResponse(sent, FrontTestPeers.receive(socket));
                } catch (SocketTimeoutException e) {
                    violations.add("rule 1: no response to " + sent);
                    return;
                }
            }
            socket.setSoTimeout(30);
            try {
                if (socket.getInputStream().read() >= 0) {
                    violations.add("rule 1: more responses than requests: " + sentRequests);
                }
            } catch (SocketTimeoutException e) {
                // expected: no further response
            }
            socket.close();
        }

        private void checkResponse(SentRequest sent, String response) {
            List<Long> times = runTimesNanos.getOrDefault(sent.id, List.of());
            boolean completed = response.contains("Laurelkeel-Answer: completed");
            boolean rejected = response.contains("Laurelkeel-Retry: harmless");
            if (!completed && !rejected && !response.contains("Laurelkeel-Answer: errored")) {
                violations.add("rule 1: " + sent + " got an invalid response: " + response);
            } else if (completed && !response.endsWith(sent.id)) {
                violations.add("rule 1: " + sent + " got the response to another request: " + response);
            } else if (rejected && sent.route.equals("put") && !times.isEmpty()) {
                violations.add("rule 2: rejected as harmless to retry, but it ran: " + sent);
            }
        }

        @Override
        public void close() throws IOException {
            front.drain();
            front.termination().join();
            for (ServerSocket server : endpointServers) {
                server.close();
            }
            for (Socket socket : openSockets) {
                socket.close();
            }
        }
    }

    /** Runs clients in parallel and returns the violations of a rule. */
    private static List<String> violationsOf(long seed, int rule) throws Exception {
        try (NodeWithEndpoints node = new NodeWithEndpoints(seed)) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                int number = i;
                Thread thread = new Thread(() -> {
                    try {
                        node.runClient(number, new Random(seed + number));
                    } catch (IOException e) {
                        node.violations.add("rule 1: a connection was lost before its responses: " + e);
                    }
                });
                threads.add(thread);
                thread.start();
            }
            for (Thread thread : threads) {
                thread.join();
            }
            assertTrue(node.runTimesNanos.size() > 30, "requests that ran: " + node.runTimesNanos.size());
            node.runTimesNanos.forEach((id, times) -> {
                if (times.size() > 1 && node.routesById.get(id).equals("put")) {
                    node.violations.add("rule 2: a non-retriable request ran " + times.size() + " times: " + id);
                }
                if (times.size() > 1
                        && node.routesById.get(id).equals("pay")
                        && times.get(times.size() - 1) - times.get(0) > 1_000_000_000L) {
                    node.violations.add("rule 2: a deduplicated request ran again after its window: " + id);
                }
            });
            return node.violations.stream()
                    .filter(violation -> violation.startsWith("rule " + rule))
                    .toList();
        }
    }

    @Property(tries = 4, seed = "1", shrinking = ShrinkingMode.OFF)
    void rule1EachRequestGetsExactlyOneResponse(@ForAll long seed) throws Exception {
        assertEquals(List.of(), violationsOf(seed, 1));
    }

    @Property(tries = 4, seed = "2", shrinking = ShrinkingMode.OFF)
    void rule2NoRequestRunsTwiceAndRejectionsAreHarmless(@ForAll long seed) throws Exception {
        assertEquals(List.of(), violationsOf(seed, 2));
    }
}
