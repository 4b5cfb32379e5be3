package laurelkeel.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import laurelkeel.front.FrontTestRig;
import laurelkeel.platform.PlatformTestBed;
import laurelkeel.soak.NodeImage;
import laurelkeel.soak.NodeProcess;
import laurelkeel.testbed.PortAllocator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts a node in a separate process several times. In the incident of 2026-12-02 (docs/incidents) a node could
 * terminate on start if it voted in its first turn.
 */
class NodeLauncherTest {
    /** With the build of the incident, more than one start in three ended the node. */
    private static final int STARTS = 10;

    @TempDir
    Path folder;

    private PlatformTestBed.FakeServer discovery;
    private PlatformTestBed.FakeServer control;
    private final AtomicInteger votes = new AtomicInteger();

    @BeforeEach
    void open() throws Exception {
        discovery = new PlatformTestBed.FakeServer();
        control = new PlatformTestBed.FakeServer();
        Thread reader = new Thread(this::countVotes);
        reader.setDaemon(true);
        reader.start();
    }

    @AfterEach
    void close() throws Exception {
        discovery.close();
        control.close();
    }

    /** Counts the votes that arrive and does not answer them. */
    private void countVotes() {
        try {
            while (true) {
                Socket connection = control.nextConnection();
                Thread reader = new Thread(() -> {
                    try (BufferedReader in = PlatformTestBed.lineReader(connection)) {
                        for (String line = in.readLine(); line != null; line = in.readLine()) {
                            votes.addAndGet(line.startsWith("SAY ") ? 1 : 0);
                        }
                    } catch (IOException e) {
                        // the node has closed the connection
                    }
                });
                reader.setDaemon(true);
                reader.start();
            }
        } catch (InterruptedException | AssertionError e) {
            // the test is over
        }
    }

    /** Returns a configuration with a canary that is old enough for the node to vote on it immediately. */
    private String configurationJson(int port) {
        List<String> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add("{\"id\":\"s-" + i
                    + "\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"kind\":\"m1\","
                    + "\"cell\":0,\"state\":\"active\",\"weight\":1.0,\"started_ms\":0,\"revision_no\":" + (23 + i % 2)
                    + "}");
        }
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
                + "\",\"limits\":{\"sockets\":256},\"rollouts\":{\"address\":\"" + control.address()
                + "\",\"news\":{\"build\":24,\"stage\":1,\"phase\":\"Progressing\",\"cap\":0.5,\"age_ms\":9000}},"
                + "\"known\":{\"version\":7,\"full\":true,\"servers\":[" + String.join(",", servers)
                + "]},\"settings\":"
                + PlatformTestBed.SETTINGS.formatted(800) + "}";
    }

    @Test
    void nodeThatVotesInItsFirstTurnKeepsRunning() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, configurationJson(PortAllocator.allocate()));
        NodeImage image = NodeImage.make(folder);
        for (int i = 0; i < STARTS; i++) {
            int before = votes.get();
            NodeProcess node = NodeProcess.start(image, file, folder.resolve("node.log"), Map.of(), 256);
            try {
                FrontTestRig.await("the node votes or terminates", () -> votes.get() > before || !node.isAlive());
                assertTrue(node.isAlive(), node.log());
            } finally {
                node.kill();
            }
        }
    }
}
