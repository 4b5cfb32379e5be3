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

/**
 * Real nodes whose system calls fail in ways that Linux documents, and nodes that cannot read their configuration or open
 * their listener at first, or that get SIGTERM during startup.
 */
class FailingCallsTest {
    private static final int ENFILE = 23;
    private static final int ECONNABORTED = 103;
    private static final int EADDRNOTAVAIL = 99;
    private static final long FOREVER_MILLIS = 1_000_000;
    private static final int DESCRIPTORS = 256;
    /** The longest time that a response may take; far less than the 1 s delay of an acceptor that sleeps after a failure. */
    private static final long MAX_RESPONSE_MILLIS = 400;

    private static final int CONNECTIONS = 20;
    /** The shortest time from SIGTERM to SIGKILL. */
    private static final long KILL_AFTER_MILLIS = 3_700;

    /** The folder of the node image and the fault library, shared by all tests of this class. */
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
        assumeTrue(library.isPresent(), "no C compiler is installed");
        Path file = folder.resolve("config.json");
        Files.writeString(file, configuration());
        node = NodeProcess.start(
                image,
                file,
                folder.resolve("node.log"),
                Map.of("LD_PRELOAD", library.get().toString(), "SOAK_FAULTS", faults),
                DESCRIPTORS);
    }

    /** Whether the node responds with any status; it is not ready, because it receives no endpoint list. */
    private boolean responds() {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(5_000);
            HttpText.write(client, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
            return HttpText.readLine(client.getInputStream()) != null;
        } catch (IOException e) {
            return false;
        }
    }

    private void assertRespondsQuickly() {
        for (int i = 0; i < CONNECTIONS; i++) {
            long startedNanos = System.nanoTime();
            assertTrue(responds(), "connection " + i);
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
            assertTrue(tookMillis < MAX_RESPONSE_MILLIS, "connection " + i + " took " + tookMillis + " ms");
        }
    }

    @Test
    void aFailedAcceptDelaysConnectionsOnlyBriefly() throws Exception {
        // ECONNABORTED as well, although the Java runtime itself retries after it
        start("accept:" + ENFILE + ":0:" + FOREVER_MILLIS + ":40,accept:" + ECONNABORTED + ":0:" + FOREVER_MILLIS
                + ":10");
        FrontTestRig.await("it responds", this::responds);
        assertRespondsQuickly();
    }

    @Test
    void aNodeThatCannotAcceptConnectionsStillShutsDownCleanly() throws Exception {
        start("accept:" + ENFILE + ":2500:" + FOREVER_MILLIS + ":100");
        FrontTestRig.await("it responds", this::responds);
        FrontTestRig.await("accept fails", () -> node.ageMillis() > 2_600);
        try (Socket waiting = new Socket(InetAddress.getLoopbackAddress(), port)) {
            assertTrue(waiting.isConnected());
            node.signal("TERM");
            OptionalInt status = node.awaitExit(KILL_AFTER_MILLIS);
            assertTrue(status.isPresent(), node.log());
            assertEquals(0, status.getAsInt());
        }
    }

    /** The node retries its connections to discovery and control service, and continues to serve meanwhile. */
    @Test
    void aFailedConnectDoesNotStopTheNode() throws Exception {
        start("connect:" + EADDRNOTAVAIL + ":0:1500:100,socket:" + ENFILE + ":0:700:100");
        discovery.nextConnection();
        control.nextConnection();
        FrontTestRig.await("it responds", this::responds);
        assertTrue(node.isAlive());
    }

    /** The configuration file is a named pipe, so that the node blocks while reading it until the test writes to it. */
    @Test
    void aSignalBeforeTheConfigurationIsReadTakesEffectAfterwards() throws Exception {
        Path file = folder.resolve("config.json");
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        node = NodeProcess.start(image, file, folder.resolve("node.log"), Map.of(), DESCRIPTORS);
        try (OutputStream pipe = Files.newOutputStream(file)) {
            node.signal("TERM");
            FrontTestRig.await(
                    "SIGTERM is logged, or the node has exited", () -> hasLogged("SIGTERM") || !node.isAlive());
            assertTrue(node.isAlive(), node.log());
            pipe.write(configuration().getBytes(UTF_8));
        }
        assertEquals(OptionalInt.of(0), node.awaitExit(10_000));
    }

    private boolean hasLogged(String text) {
        try {
            return node.log().contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    /** A symbolic link to a folder replaces the configuration file at first; a folder cannot be read as a file. */
    @Test
    void readingTheConfigurationIsRetried() throws Exception {
        Path file = Files.createSymbolicLink(folder.resolve("config.json"), folder);
        node = NodeProcess.start(image, file, folder.resolve("node.log"), Map.of(), DESCRIPTORS);
        FrontTestRig.await("it retries, or has exited", () -> hasLogged("is read again") || !node.isAlive());
        assertTrue(node.isAlive(), node.log());
        Path replacement = Files.writeString(folder.resolve("config.json.new"), configuration());
        Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE);
        FrontTestRig.await("it responds", this::responds);
    }

    @Test
    void theListenerWaitsWhileItsAddressIsInUse() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, configuration());
        try (ServerSocket occupied = new ServerSocket(port, 5, InetAddress.getLoopbackAddress())) {
            node = NodeProcess.start(image, file, folder.resolve("node.log"), Map.of(), DESCRIPTORS);
            FrontTestRig.await("it waits, or has exited", () -> hasLogged("cannot be opened yet") || !node.isAlive());
            assertTrue(node.isAlive(), node.log());
            assertEquals(port, occupied.getLocalPort());
        }
        FrontTestRig.await("it responds", this::responds);
    }
}
