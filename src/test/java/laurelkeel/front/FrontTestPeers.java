package laurelkeel.front;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;

/** A front node between plain client sockets and an endpoint socket; the test reads and writes the bytes of both. */
public final class FrontTestPeers implements AutoCloseable {
    /** The settings of a node; the placeholder takes additional lines of the first section. */
    static final String SETTINGS =
            """
            [front]
            number = 0
            fronts = 2
            listen = 127.0.0.1:0
            %s
            [route look]
            path = /look
            effect = retriable
            objective = 300 ms
            timeout = 5 s
            [route pay]
            path = /pay
            method = POST
            effect = deduped
            repeat-window = 1 s
            objective = 300 ms
            timeout = 5 s
            [rollout]
            stage-caps = 0.2, 1
            vote-timeout = 500 ms
            """;

    final ServerSocket endpointServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    final BlockingQueue<Socket> endpointConnections = new LinkedBlockingQueue<>();
    final List<Event> events = new CopyOnWriteArrayList<>();
    final FrontNode front;
    final InetSocketAddress address;
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();

    /** @param decide returns the actions for one event; the actions for all events of a turn are concatenated */
    FrontTestPeers(Path folder, String extra, BiFunction<FrontTestPeers, Event, List<Action>> decide)
            throws IOException {
        this(folder, extra, List.of(), decide);
    }

    FrontTestPeers(
            Path folder, String extra, List<String> frontLines, BiFunction<FrontTestPeers, Event, List<Action>> decide)
            throws IOException {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = endpointServer.accept();
                    openSockets.add(socket);
                    endpointConnections.add(socket);
                }
            } catch (IOException e) {
                // the test has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
        Path file = folder.resolve("front.ini");
        Files.writeString(file, SETTINGS.formatted(String.join("\n", frontLines)) + extra);
        Decider decider = decider(events, e -> decide.apply(this, e));
        try {
            front = new FrontNode(FrontSettings.read(file), (settings, seed) -> decider);
        } catch (laurelkeel.config.InvalidSettingsException e) {
            throw new IOException(e);
        }
        address = front.start();
    }

    /** Returns a decider that records all events and concatenates the actions for each. */
    public static Decider decider(List<Event> events, Function<Event, List<Action>> decide) {
        return (now, batch) -> {
            List<Action> out = new ArrayList<>();
            for (Event e : batch) {
                events.add(e);
                out.addAll(decide.apply(e));
            }
            return out;
        };
    }

    String endpointId() {
        return "127.0.0.1:" + endpointServer.getLocalPort();
    }

    /** Sends one attempt for each request, and fails the request if the attempt fails. */
    static List<Action> sendOnce(FrontTestPeers peers, Event e) {
        if (e instanceof Event.RequestReceived request) {
            return List.of(new Action.SendAttempt(request.requestId(), peers.endpointId(), 0));
        }
        return e instanceof Event.AttemptEnded attempt && !attempt.requestEnded()
                ? List.of(new Action.FailRequest(attempt.requestId()))
                : List.of();
    }

    Socket connectClient() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(10_000);
        openSockets.add(socket);
        return socket;
    }

    public static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Returns the entry of an endpoint of build 1 in the endpoint list. */
    static String endpointJson(String endpointId, String state) {
        return "{\"machine\":\"" + endpointId
                + "\",\"build\":1,\"zone\":\"here\",\"cell\":0,\"kind\":0,\"size\":1,\"state\":\"" + state
                + "\",\"run\":1,\"ageMs\":-1}";
    }

    static String lookRequest(String headers) {
        return "GET /look HTTP/1.1\r\nHost: f\r\n" + headers + "\r\n";
    }

    /** Reads one message: its head, and the body whose length the head states. */
    public static String receive(Socket socket) throws IOException {
        return receive(socket.getInputStream());
    }

    public static String receive(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return head.append("<end>").toString();
            }
            head.append((char) b);
        }
        java.util.regex.Matcher m =
                java.util.regex.Pattern.compile("(?i)Content-Length: (\\d+)").matcher(head);
        byte[] body = in.readNBytes(m.find() ? Integer.parseInt(m.group(1)) : 0);
        return head + new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Waits for the next connection that the node opens to the endpoint. */
    Socket nextEndpointConnection() throws InterruptedException {
        Socket socket = endpointConnections.poll(10, TimeUnit.SECONDS);
        if (socket == null) {
            throw new AssertionError("the node opened no connection to the endpoint");
        }
        return socket;
    }

    <E extends Event> E firstEvent(Class<E> kind) {
        FrontTestRig.await(kind.getSimpleName(), () -> events.stream().anyMatch(kind::isInstance));
        return events.stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : openSockets) {
            socket.close();
        }
        endpointServer.close();
        front.drain();
        front.termination().join();
    }
}
