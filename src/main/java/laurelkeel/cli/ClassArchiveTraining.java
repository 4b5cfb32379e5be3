package laurelkeel.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.front.FrontNode;
import laurelkeel.platform.NodeConfiguration;
import laurelkeel.platform.PlatformNode;

/**
 * A front node serves a few hundred reqs of its own between parties of its own on loopback, and ends. The build runs
 * it to learn which classes a node needs (deploy/archive.sh): one that starts on half a core is ready far sooner then.
 */
final class ClassArchiveTraining {
    private static final int REQS = 400;
    private static final String CONFIG =
            """
            {"name":"rehearsal","listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":256},
             "rollouts":{"address":"%s","news":{"build":1,"stage":0,"phase":"Healthy","cap":1.0,"age_ms":9000}},
             "known":%s,"settings":{"selfIndex":0,"balancers":1,"zone":0,"zones":["a"],"kinds":["m"],
             "services":[{"name":"get","effect":"safe","onTime":500.0,"deadline":2000.0,"points":1.0},
              {"name":"put","effect":"keyed","dedupScope":"all","onTime":500.0,"deadline":2000.0,"points":1.0,
               "repeatWindow":2000.0}],"orgs":[{"name":"one","quotaRps":100.0}],
             "allowed":{"maxAttempts":4,"cancel":true,"retryAfter":true,"maxRetryAfter":500.0,"idleClose":15000.0},
             "rules":{"drainGrace":1000.0,"cold":4000.0,"coldFrom":0.4,"tipAfter":3000.0,"tipMultiple":2.5},
             "familyInfo":{"gateMode":"by_count","votesToGo":1,"noesNeeded":1,"stageCap":[0.5,1.0],
              "callTimeout":800.0,"voteTtl":6000.0,"votesPerS":100.0,"countedOver":4000.0,"uncounted":3.0}}}""";

    private ClassArchiveTraining() {}

    private interface Talk {
        void with(Socket s, BufferedReader in) throws IOException;
    }

    private static String party(Talk talk) throws IOException {
        ServerSocket at = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread t = new Thread(() -> {
            try {
                while (true) {
                    Socket s = at.accept();
                    Thread each = new Thread(() -> {
                        try {
                            talk.with(
                                    s,
                                    new BufferedReader(
                                            new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1)));
                        } catch (IOException e) {
                            // the node has ended it
                        }
                    });
                    each.setDaemon(true);
                    each.start();
                }
            } catch (IOException e) {
                // the process ends
            }
        });
        t.setDaemon(true);
        t.start();
        return "127.0.0.1:" + at.getLocalPort();
    }

    private static void say(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static boolean head(BufferedReader in) throws IOException {
        String line = in.readLine();
        while (line != null && !line.isEmpty()) {
            line = in.readLine();
        }
        return line != null;
    }

    private static String machine(String id, String at, int build) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + at
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\"active\"," + "\"weight\":1.0,\"started_ms\":"
                + (build == 1 ? 0 : System.currentTimeMillis()) + ",\"revision_no\":" + build + "}";
    }

    static int run() throws Exception {
        String machine = party((s, in) -> {
            while (head(in)) {
                say(s, "HTTP/1.1 200 OK\r\nX-Backend-Load: {\"inflight\":1}\r\nContent-Length: 2\r\n\r\nok");
            }
        });
        String old = machine("s-1", machine, 1), more = machine("s-2", machine, 1), fresh = machine("s-3", machine, 2);
        String discovery = party((s, in) -> {
            head(in);
            String list = "{\"version\":2,\"full\":false,\"servers\":[" + fresh + "]}\n";
            say(
                    s,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length())
                            + "\r\n" + list + "\r\n");
        });
        String desk = party((s, in) -> {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                say(
                        s,
                        line.equals("SUB")
                                ? "OK\r\n* progress 2 0 Progressing 0.5 10\r\n* metrics 2 get 3 0 8.5 900\r\n"
                                : "OK 2 0 Progressing 0.5 10\r\n");
            }
        });
        String known = "{\"version\":1,\"full\":true,\"servers\":[" + old + "," + more + "]}";
        NodeConfiguration config =
                NodeConfiguration.of(new ObjectMapper().readTree(CONFIG.formatted(discovery, desk, known)), Map.of());
        PlatformNode node = PlatformNode.create(config, RoutingDecider::new);
        FrontNode front = node.frontNode();
        int port = front.start().getPort();
        int served = 0;
        try (Socket c = new Socket(InetAddress.getLoopbackAddress(), port)) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(c.getInputStream(), StandardCharsets.ISO_8859_1));
            char[] body = new char[3];
            for (int i = 0; i < REQS; i++) {
                say(
                        c,
                        (i % 2 == 0 ? "GET /get" : "POST /put") + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: r" + i
                                + "\r\nX-Account: one\r\nX-Session-Key: k" + i % 50 + "\r\nX-Time-Left: 1.9\r\n"
                                + (i % 2 == 0 ? "\r\n" : "Idempotency-Key: m" + i + "\r\nContent-Length: 0\r\n\r\n"));
                boolean ok = in.readLine().contains(" 200 ");
                head(in);
                in.read(body, 0, ok ? 2 : 0);
                served += ok ? 1 : 0;
                if (!ok) {
                    break;
                }
            }
        }
        node.reconfigure(config);
        front.drain();
        front.termination().get();
        System.err.println("rehearsed: " + served + " of " + REQS + " reqs served");
        return served == REQS ? 0 : Cli.FAILED;
    }
}
