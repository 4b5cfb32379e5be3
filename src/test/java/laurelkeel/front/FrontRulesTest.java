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
 * Rules 1 and 2 on sockets: a node with the real decider between endpoints that misbehave by a seed and clients that
 * pipeline, disconnect and have short deadlines. The oracle is what the sockets saw: endpoints record each request that
 * they ran.
 */
class FrontRulesTest {
    /** A request of one client, which expects answers in the order of its requests. */
    private record SentRequest(String id, String route) {}

    private static final class NodeWithEndpoints implements AutoCloseable {
        final Path folder;
        final long seed;
        final List<ServerSocket> machines = new ArrayList<>();
        final List<Socket> open = new CopyOnWriteArrayList<>();
        /** When each request ran, by its id, in nanoseconds. */
        final Map<String, List<Long>> ran = new ConcurrentHashMap<>();

        final Map<String, String> routes = new ConcurrentHashMap<>();
        final List<String> broken = Collections.synchronizedList(new ArrayList<>());
        final FrontNode front;
        final InetSocketAddress at;

        NodeWithEndpoints(long seed) throws Exception {
            this.seed = seed;
            folder = Files.createTempDirectory("front-rules");
            StringBuilder list = new StringBuilder();
            for (int i = 0; i < 3; i++) {
                ServerSocket m = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
                machines.add(m);
                int number = i;
                start(() -> accept(m, number));
                list.append(i == 0 ? "[" : ",")
                        .append(FrontTestPeers.endpointJson("127.0.0.1:" + m.getLocalPort(), "live"));
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
            at = front.start();
        }

        static void start(Runnable r) {
            Thread t = new Thread(r);
            t.setDaemon(true);
            t.start();
        }

        private void accept(ServerSocket m, int number) {
            try {
                for (int n = 0; ; n++) {
                    Socket s = m.accept();
                    open.add(s);
                    long mine = seed * 31 + number * 1000L + n;
                    start(() -> serve(s, new Random(mine)));
                }
            } catch (IOException e) {
                // the test is over
            }
        }

        private void serve(Socket s, Random chance) {
            try (s) {
                while (true) {
                    String req = FrontTestPeers.receive(s);
                    if (req.endsWith("<end>")) {
                        return;
                    }
                    int what = chance.nextInt(12);
                    if (what == 0) {
                        FrontTestPeers.send(s, "HTTP/1.1 503 No\r\nLaurelkeel-Ran: no\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                    String id = req.replaceAll("(?s).*X-Request-Id: (\\S+).*", "$1");
                    ran.computeIfAbsent(id, k -> Collections.synchronizedList(new ArrayList<>()))
                            .add(System.nanoTime());
                    if (what == 1) {
                        return;
                    } else if (what == 2) {
                        FrontTestPeers.send(s, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
                        return;
                    } else if (what == 3) {
                        FrontTestPeers.send(s, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
                    } else if (what == 4) {
                        // silent: the other side must end it
                        s.getInputStream().read();
                        return;
                    } else {
                        FrontTestPeers.send(s, "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id);
                        if (what == 5) {
                            // closes what the node takes for idle
                            return;
                        }
                    }
                }
            } catch (IOException e) {
                // the node closed it
            }
        }

        /** Plays one client: some requests at once, then all their answers. */
        private void client(int number, Random chance) throws IOException {
            Socket s = new Socket(at.getAddress(), at.getPort());
            open.add(s);
            s.setSoTimeout(8_000);
            List<SentRequest> asked = new ArrayList<>();
            StringBuilder all = new StringBuilder();
            int n = 1 + chance.nextInt(4);
            for (int i = 0; i < n; i++) {
                String id = "c" + number + "-" + i;
                String route = new String[] {"look", "pay", "put"}[chance.nextInt(3)];
                long waits = 60L + chance.nextInt(900);
                routes.put(id, route);
                asked.add(new SentRequest(id, route));
                all.append(route.equals("look") ? "GET" : "POST")
                        .append(" /")
                        .append(route)
                        .append(" HTTP/1.1\r\nHost: f\r\n")
                        .append("X-Request-Id: ")
                        .append(id)
                        .append("\r\nIdempotency-Key: ")
                        .append(id)
                        .append("\r\nLaurelkeel-Remaining-Ms: ")
                        .append(waits)
                        .append(route.equals("look") ? "\r\n\r\n" : "\r\nContent-Length: 2\r\n\r\nhi");
            }
            FrontTestPeers.send(s, all.toString());
            if (chance.nextInt(8) == 0) {
                s.close();
                return;
            }
            for (SentRequest a : asked) {
                try {
                    answered(a, FrontTestPeers.receive(s));
                } catch (SocketTimeoutException e) {
                    broken.add("rule 1: no answer to " + a);
                    return;
                }
            }
            s.setSoTimeout(30);
            try {
                if (s.getInputStream().read() >= 0) {
                    broken.add("rule 1: more answers than reqs on " + asked);
                }
            } catch (SocketTimeoutException e) {
                // as it should be
            }
            s.close();
        }

        private void answered(SentRequest a, String answer) {
            List<Long> times = ran.getOrDefault(a.id, List.of());
            boolean completed = answer.contains("Laurelkeel-Answer: completed");
            boolean shed = answer.contains("Laurelkeel-Retry: harmless");
            if (!completed && !shed && !answer.contains("Laurelkeel-Answer: errored")) {
                broken.add("rule 1: " + a + " was answered with " + answer);
            } else if (completed && !answer.endsWith(a.id)) {
                broken.add("rule 1: " + a + " got another's answer: " + answer);
            } else if (shed && a.route.equals("put") && !times.isEmpty()) {
                broken.add("rule 2: shed as harmless, and it ran: " + a);
            }
        }

        @Override
        public void close() throws IOException {
            front.drain();
            front.termination().join();
            for (ServerSocket m : machines) {
                m.close();
            }
            for (Socket s : open) {
                s.close();
            }
        }
    }

    /** Plays clients in parallel and returns the violations of a rule. */
    private static List<String> violationsOf(long seed, int rule) throws Exception {
        try (NodeWithEndpoints node = new NodeWithEndpoints(seed)) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                int number = i;
                Thread thread = new Thread(() -> {
                    try {
                        node.client(number, new Random(seed + number));
                    } catch (IOException e) {
                        node.broken.add("rule 1: a connection broke before its answers: " + e);
                    }
                });
                threads.add(thread);
                thread.start();
            }
            for (Thread thread : threads) {
                thread.join();
            }
            assertTrue(node.ran.size() > 30, "ran " + node.ran.size());
            node.ran.forEach((id, times) -> {
                if (times.size() > 1 && node.routes.get(id).equals("put")) {
                    node.broken.add("rule 2: a non-retriable req ran " + times.size() + " times: " + id);
                }
                if (times.size() > 1
                        && node.routes.get(id).equals("pay")
                        && times.get(times.size() - 1) - times.get(0) > 1_000_000_000L) {
                    node.broken.add("rule 2: a deduped req ran again after its window: " + id);
                }
            });
            return node.broken.stream()
                    .filter(b -> b.startsWith("rule " + rule))
                    .toList();
        }
    }

    @Property(tries = 4, seed = "1", shrinking = ShrinkingMode.OFF)
    void rule1EachRequestOnSocketsHasItsOneAnswer(@ForAll long seed) throws Exception {
        assertEquals(List.of(), violationsOf(seed, 1));
    }

    @Property(tries = 4, seed = "2", shrinking = ShrinkingMode.OFF)
    void rule2NothingOnSocketsRunsTwiceAndRejectionsAreHarmless(@ForAll long seed) throws Exception {
        assertEquals(List.of(), violationsOf(seed, 2));
    }
}
