package laurelkeel.soak;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import laurelkeel.front.FrontTestRig;
import laurelkeel.platform.PlatformTestBed;
import laurelkeel.testbed.PortAllocator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A real node whose system calls fail as Linux documents it, and one that is signalled before it has begun. */
class FailingCallsTest {
    private static final int ENFILE = 23;
    private static final int ECONNABORTED = 103;
    private static final int EADDRNOTAVAIL = 99;
    private static final long FOREVER_MILLIS = 1_000_000;
    private static final int DESCRIPTORS = 256;
    /** The longest that a connection takes, far less than the second that a sleeping acceptor costs. */
    private static final long MOMENT_MILLIS = 400;

    private static final int CONNECTIONS = 20;
    /** SIGKILL comes no sooner after SIGTERM. */
    private static final long KILL_AFTER_MILLIS = 3_700;

    /** What all nodes of this class are started from. */
    @TempDir
    static Path shared;

    private static NodeImage image;
    private static Optional<Path> library;

    @TempDir
    Path folder;

    private int port;
    private PlatformTestBed.FakeServer discovery;
    private PlatformTestBed.FakeServer control;
    private NodeProcess node;

    @BeforeAll
    static void makeImage() throws Exception {
        image = NodeImage.make(shared);
        library = FaultLibrary.build(shared);
    }

    @BeforeEach
    void open() throws Exception {
        port = PortAllocator.allocate();
        discovery = new PlatformTestBed.FakeServer();
        control = new PlatformTestBed.FakeServer();
    }

    @AfterEach
    void close() throws Exception {
        if (node != null) {
            node.kill();
        }
        discovery.close();
        control.close();
    }

    private String configuration() {
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
                + "\",\"limits\":{\"sockets\":" + DESCRIPTORS + "},\"rollouts\":{\"address\":\"" + control.address()
                + "\"},\"settings\":" + PlatformTestBed.SETTINGS.formatted(800) + "}";
    }

    private void start(String faults) throws Exception {
        assumeTrue(library.isPresent(), "there is no C compiler");
        Path file = folder.resolve("config.json");
        Files.writeString(file, configuration());
        node = NodeProcess.start(
                image,
                file,
                folder.resolve("node.log"),
                Map.of("LD_PRELOAD", library.get().toString(), "SOAK_FAULTS", faults),
                DESCRIPTORS);
    }

    /** Whether the node answers at all; it is not ready, for it gets no endpoint list. */
    private boolean answers() {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(5_000);
            HttpText.write(client, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
            return HttpText.readLine(client.getInputStream()) != null;
        } catch (IOException e) {
            return false;
        }
    }

    private void assertAnswersInAMoment() {
        for (int i = 0; i < CONNECTIONS; i++) {
            long startedNanos = System.nanoTime();
            assertTrue(answers(), "connection " + i);
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
            assertTrue(tookMillis < MOMENT_MILLIS, "connection " + i + " took " + tookMillis + " ms");
        }
    }

    @Test
    void anAcceptThatFailsCostsAMoment() throws Exception {
        // ECONNABORTED too, though the runtime tries again by itself there
        start("accept:" + ENFILE + ":0:" + FOREVER_MILLIS + ":40,accept:" + ECONNABORTED + ":0:" + FOREVER_MILLIS
                + ":10");
        FrontTestRig.await("it answers", this::answers);
        assertAnswersInAMoment();
    }

    @Test
    void aNodeThatCanAcceptNothingStillEndsInOrder() throws Exception {
        start("accept:" + ENFILE + ":2500:" + FOREVER_MILLIS + ":100");
        FrontTestRig.await("it answers", this::answers);
        FrontTestRig.await("accepts fail", () -> node.ageMillis() > 2_600);
        try (Socket waiting = new Socket(InetAddress.getLoopbackAddress(), port)) {
            assertTrue(waiting.isConnected());
            node.signal("TERM");
            OptionalInt status = node.awaitExit(KILL_AFTER_MILLIS);
            assertTrue(status.isPresent(), node.log());
            assertEquals(0, status.getAsInt());
        }
    }

    /** The node connects to discovery and control service again and again, and goes on meanwhile. */
    @Test
    void aConnectThatFailsEndsNothing() throws Exception {
        start("connect:" + EADDRNOTAVAIL + ":0:1500:100,socket:" + ENFILE + ":0:700:100");
        discovery.nextConnection();
        control.nextConnection();
        FrontTestRig.await("it answers", this::answers);
        assertTrue(node.isAlive());
    }

    /** The configuration is a pipe: the node has come as far as reading it, and no further, until it is written. */
    @Test
    void signalsBeforeTheConfigurationIsReadAreFollowedAfterIt() throws Exception {
        Path file = folder.resolve("config.json");
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        node = NodeProcess.start(image, file, folder.resolve("node.log"), Map.of(), DESCRIPTORS);
        try (OutputStream pipe = Files.newOutputStream(file)) {
            node.signal("TERM");
            FrontTestRig.await("it is logged, or the node ends", () -> hasLogged("SIGTERM") || !node.isAlive());
            assertTrue(node.isAlive(), node.log());
            pipe.write(configuration().getBytes(UTF_8));
        }
        assertEquals(OptionalInt.of(0), node.awaitExit(10_000));
    }

    private boolean hasLogged(String line) {
        try {
            return node.log().contains(line);
        } catch (IOException e) {
            return false;
        }
    }

    /** A folder stands in its place, which the system does not let the node read. */
    @Test
    void aConfigurationThatCannotBeReadYetIsReadAgain() throws Exception {
        Path file = Files.createSymbolicLink(folder.resolve("config.json"), folder);
        node = NodeProcess.start(image, file, folder.resolve("node.log"), Map.of(), DESCRIPTORS);
        FrontTestRig.await("it reads again, or ends", () -> hasLogged("is read again") || !node.isAlive());
        assertTrue(node.isAlive(), node.log());
        Path replacement = Files.writeString(folder.resolve("config.json.new"), configuration());
        Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE);
        FrontTestRig.await("it answers", this::answers);
    }

    @Test
    void aNewListenerWaitsForAnAddressThatIsStillTaken() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, configuration());
        try (ServerSocket taken = new ServerSocket(port, 5, InetAddress.getLoopbackAddress())) {
            node = NodeProcess.start(image, file, folder.resolve("node.log"), Map.of(), DESCRIPTORS);
            FrontTestRig.await("it waits, or ends", () -> hasLogged("cannot be opened yet") || !node.isAlive());
            assertTrue(node.isAlive(), node.log());
            assertEquals(port, taken.getLocalPort());
        }
        FrontTestRig.await("it answers", this::answers);
    }
}
