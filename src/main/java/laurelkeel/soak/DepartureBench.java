package laurelkeel.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Plays every way for a client to leave against real nodes, and reports the attempts that endpoints received for requests
 * whose clients had left. Each case has a node of its own and one client for each {@link ClientBacklog}.
 */
public final class DepartureBench {
    private static final int ENDPOINTS = 12;
    /** How long a client waits after it began to send until it leaves. */
    private static final int STAY_MILLIS = 80;
    /** Longer than the time that any request allows, so that every attempt has begun by the end. */
    private static final int OBSERVED_MILLIS = 3_000;

    private static final int CLIENT_INTERVAL_MILLIS = 20;
    /** Holds a node up for {@link #HELD_UP_MILLIS}, while clients leave and endpoints respond. */
    private static final String STOP = "STOP";

    private static final int HELD_UP_MILLIS = 150;
    private static final int RETURNING_REQUESTS = 4;
    private static final int MAX_SENT_AGAIN = 5;
    private static final int PAUSE_BEFORE_SENDING_AGAIN_MILLIS = 50;
    private static final int HTTP_OK = 200;

    private final NodeImage image;
    private final Path folder;

    /** @param folder for the configurations and logs of the nodes */
    public DepartureBench(NodeImage image, Path folder) {
        this.image = image;
        this.folder = folder;
    }

    /** Plays all cases on one kind of node, and prints the result of each as a table row. */
    public List<DepartureResult> run(NodeKind node, PrintStream out) throws IOException, InterruptedException {
        List<DepartureResult> results = new ArrayList<>();
        for (DepartureCase each : cases(node)) {
            for (DepartureResult result : run(each)) {
                out.println(result.row());
                results.add(result);
            }
        }
        return results;
    }

    private static List<DepartureCase> cases(NodeKind node) {
        List<DepartureCase> cases = new ArrayList<>();
        for (ClientDeparture departure : ClientDeparture.values()) {
            for (EndpointScript script : EndpointScript.values()) {
                cases.add(new DepartureCase(node, script, "", departure));
            }
            cases.add(new DepartureCase(node, EndpointScript.SERVES_LATE, "", departure, true));
            cases.add(new DepartureCase(node, EndpointScript.RESETS_LATE, "TERM", departure));
            cases.add(new DepartureCase(node, EndpointScript.RESETS_LATE, STOP, departure));
            cases.add(new DepartureCase(node, EndpointScript.SERVES_LATE, STOP, departure));
            if (node == NodeKind.SERVE) {
                cases.add(new DepartureCase(node, EndpointScript.RESETS_LATE, "HUP", departure));
            }
        }
        return cases;
    }

    /** Plays one case with all backlogs. */
    List<DepartureResult> run(DepartureCase departureCase) throws IOException, InterruptedException {
        Path caseFolder =
                folder.resolve(departureCase.toString().toLowerCase(Locale.ROOT).replace(' ', '-'));
        try (SingleNodeTestBed testBed =
                new SingleNodeTestBed(departureCase.node(), image, departureCase.script(), ENDPOINTS, caseFolder)) {
            List<LeavingClient> clients = new ArrayList<>();
            for (ClientBacklog backlog : ClientBacklog.values()) {
                clients.add(new LeavingClient(testBed, departureCase.departure(), backlog));
                Thread.sleep(CLIENT_INTERVAL_MILLIS);
            }
            signal(testBed.node(), departureCase.signal());
            for (LeavingClient client : clients) {
                client.awaitDeparture();
                if (departureCase.returns()) {
                    client.comeAgain();
                }
            }
            Thread.sleep(OBSERVED_MILLIS);
            List<DepartureResult> results = new ArrayList<>();
            for (LeavingClient client : clients) {
                results.add(client.result(departureCase));
                client.close();
            }
            return results;
        }
    }

    private static void signal(NodeProcess node, String signal) throws IOException, InterruptedException {
        if (!signal.isEmpty()) {
            node.signal(signal);
        }
        if (signal.equals(STOP)) {
            Thread.sleep(HELD_UP_MILLIS);
            node.signal("CONT");
        }
    }

    /** A client that sends its backlog and leaves. */
    private static final class LeavingClient {
        private final SingleNodeTestBed testBed;
        private final ClientBacklog backlog;
        private final List<String> ids = new CopyOnWriteArrayList<>();
        private final Socket socket;
        private final Thread departure;
        private volatile double leftAtSeconds;

        LeavingClient(SingleNodeTestBed testBed, ClientDeparture way, ClientBacklog backlog) throws IOException {
            this.testBed = testBed;
            this.backlog = backlog;
            socket = new Socket(InetAddress.getLoopbackAddress(), testBed.port());
            socket.setTcpNoDelay(true);
            Thread sender = DaemonThreads.start("sender", this::send);
            departure = DaemonThreads.start("departure", () -> {
                // a client whose output the node does not read leaves all the same
                sender.join(STAY_MILLIS);
                Thread.sleep(STAY_MILLIS);
                leftAtSeconds = testBed.clock().seconds();
                way.leave(socket);
            });
        }

        private void send() throws IOException {
            backlog.send(backlog.name().toLowerCase(Locale.ROOT) + "-", ids::add, text -> HttpText.write(socket, text));
        }

        void awaitDeparture() throws InterruptedException {
            departure.join();
        }

        /** Sends the first requests again, one after the other, each until it is neither refused nor rejected as already open. */
        void comeAgain() {
            DaemonThreads.start("return", () -> {
                try (Socket again = new Socket(InetAddress.getLoopbackAddress(), testBed.port())) {
                    InputStream in = new BufferedInputStream(again.getInputStream());
                    for (String id : ids.subList(0, Math.min(ids.size(), RETURNING_REQUESTS))) {
                        sendUntilServed(again, in, id);
                    }
                }
            });
        }

        private static void sendUntilServed(Socket again, InputStream in, String id)
                throws IOException, InterruptedException {
            String text = new SoakRequest(id, true, "k", ClientBacklog.TIMEOUT_SECONDS, "")
                    .text()
                    .replaceFirst(" HTTP/1.1", ScriptedEndpoint.AGAIN + " HTTP/1.1");
            NodeResponse response = null;
            for (int sent = 0; sent < MAX_SENT_AGAIN && (response == null || response.status() != HTTP_OK); sent++) {
                HttpText.write(again, text);
                response = NodeResponse.read(in);
                Thread.sleep(PAUSE_BEFORE_SENDING_AGAIN_MILLIS);
            }
        }

        DepartureResult result(DepartureCase departureCase) {
            return DepartureResult.of(departureCase, backlog, ids, leftAtSeconds, testBed.recorder());
        }

        void close() throws IOException {
            socket.close();
        }
    }
}
