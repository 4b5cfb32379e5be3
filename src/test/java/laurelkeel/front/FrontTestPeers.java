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

/** A front between a machine whose every byte a test writes and clients that are plain sockets. */
public final class FrontTestPeers implements AutoCloseable {
    /** Of one front; with lines of its own in its first section. */
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

    final ServerSocket machine = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    final BlockingQueue<Socket> calls = new LinkedBlockingQueue<>();
    final List<Event> events = new CopyOnWriteArrayList<>();
    final FrontNode front;
    final InetSocketAddress at;
    private final List<Socket> open = new CopyOnWriteArrayList<>();

    /** @param decide what to do at one event; all of a batch's actions are joined */
    FrontTestPeers(Path folder, String extra, BiFunction<FrontTestPeers, Event, List<Action>> decide)
            throws IOException {
        this(folder, extra, List.of(), decide);
    }

    FrontTestPeers(
            Path folder, String extra, List<String> frontLines, BiFunction<FrontTestPeers, Event, List<Action>> decide)
            throws IOException {
        Thread t = new Thread(() -> {
            try {
                while (true) {
                    Socket s = machine.accept();
                    open.add(s);
                    calls.add(s);
                }
            } catch (IOException e) {
                // the test is over
            }
        });
        t.setDaemon(true);
        t.start();
        Path file = folder.resolve("front.ini");
        Files.writeString(file, SETTINGS.formatted(String.join("\n", frontLines)) + extra);
        Decider d = decider(events, e -> decide.apply(this, e));
        try {
            front = new FrontNode(FrontSettings.read(file), (set, seed) -> d);
        } catch (laurelkeel.config.InvalidSettingsException e) {
            throw new IOException(e);
        }
        at = front.start();
    }

    /** Keeps all events, and does at each what it is told to; all of a batch's actions are joined. */
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

    String machineId() {
        return "127.0.0.1:" + machine.getLocalPort();
    }

    /** Sends each req once to the machine and errors it if that fails. */
    static List<Action> once(FrontTestPeers p, Event e) {
        if (e instanceof Event.RequestReceived r) {
            return List.of(new Action.SendAttempt(r.requestId(), p.machineId(), 0));
        }
        return e instanceof Event.AttemptEnded t && !t.requestEnded()
                ? List.of(new Action.FailRequest(t.requestId()))
                : List.of();
    }

    Socket client() throws IOException {
        Socket s = new Socket(at.getAddress(), at.getPort());
        s.setSoTimeout(10_000);
        open.add(s);
        return s;
    }

    public static void say(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        s.getOutputStream().flush();
    }

    /** A machine of build 1 as a list has it. */
    static String listed(String machine, String state) {
        return "{\"machine\":\"" + machine
                + "\",\"build\":1,\"zone\":\"here\",\"cell\":0,\"kind\":0,\"size\":1,\"state\":\"" + state
                + "\",\"run\":1,\"ageMs\":-1}";
    }

    static String look(String more) {
        return "GET /look HTTP/1.1\r\nHost: f\r\n" + more + "\r\n";
    }

    /** One message: its head, and as much body as its length says. */
    public static String hear(Socket s) throws IOException {
        return hear(s.getInputStream());
    }

    public static String hear(InputStream in) throws IOException {
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

    /** The machine's next connection. */
    Socket call() throws InterruptedException {
        Socket s = calls.poll(10, TimeUnit.SECONDS);
        if (s == null) {
            throw new AssertionError("the front did not connect");
        }
        return s;
    }

    <E extends Event> E event(Class<E> kind) {
        FrontTestRig.await(kind.getSimpleName(), () -> events.stream().anyMatch(kind::isInstance));
        return events.stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void close() throws IOException {
        for (Socket s : open) {
            s.close();
        }
        machine.close();
        front.drain();
        front.termination().join();
    }
}
