package laurelkeel.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import laurelkeel.front.FrontTestRig;
import laurelkeel.platform.NodeConfiguration;
import laurelkeel.platform.PlatformNode;
import laurelkeel.platform.PlatformTestBed;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reloading on SIGHUP, with the replacement of the file and two signals in different orders. */
class ConfigurationReloaderTest {
    @TempDir
    Path folder;

    private PlatformTestBed.FakeServer firstDiscovery;
    private PlatformTestBed.FakeServer secondDiscovery;
    private PlatformTestBed.FakeServer thirdDiscovery;
    private PlatformTestBed.FakeServer controlService;
    private Path file;
    private PlatformNode node;
    private ConfigurationReloader reloader;

    @BeforeEach
    void start() throws Exception {
        firstDiscovery = new PlatformTestBed.FakeServer();
        secondDiscovery = new PlatformTestBed.FakeServer();
        thirdDiscovery = new PlatformTestBed.FakeServer();
        controlService = new PlatformTestBed.FakeServer();
        file = folder.resolve("config.json");
        Files.writeString(file, configurationJson(firstDiscovery));
        reloader = new ConfigurationReloader(file, Map.of());
        node = PlatformNode.create(
                NodeConfiguration.read(file, Map.of()), (settings, seed) -> (now, events) -> List.of());
        node.frontNode().start();
        firstDiscovery.nextConnection();
    }

    @AfterEach
    void end() throws Exception {
        node.frontNode().drain();
        for (PlatformTestBed.FakeServer server :
                List.of(firstDiscovery, secondDiscovery, thirdDiscovery, controlService)) {
            server.close();
        }
        assertEquals(null, node.frontNode().termination().get(30, TimeUnit.SECONDS));
    }

    private String configurationJson(PlatformTestBed.FakeServer discovery) {
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.address()
                + "\",\"limits\":{\"sockets\":256},\"rollouts\":{\"address\":\"" + controlService.address()
                + "\"},\"settings\":"
                + PlatformTestBed.SETTINGS.formatted(800) + "}";
    }

    private Thread startReloadThread() {
        Thread reload = new Thread(() -> reloader.reload(node));
        reload.start();
        return reload;
    }

    @Test
    void retriesAFileThatIsBeingReplaced() throws Exception {
        String next = configurationJson(secondDiscovery);
        Files.writeString(file, next.substring(0, next.length() / 2));
        Thread reload = startReloadThread();
        FrontTestRig.await(
                "the incomplete file was read and rejected",
                () -> reload.getState() == Thread.State.TIMED_WAITING || !reload.isAlive());
        Files.writeString(file, next);
        secondDiscovery.nextConnection();
        reload.join();
    }

    /**
     * Two concurrent reloads must not apply an older file after a newer one. The first reload is blocked in the middle
     * of its file until the second one is done or waits for the first.
     */
    @Test
    void appliesTheNewestFileLastAfterTwoSignals() throws Exception {
        Files.delete(file);
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        Path pipe = folder.resolve("pipe");
        Thread older = startReloadThread();
        try (OutputStream olderFile = Files.newOutputStream(file)) {
            olderFile.write(' ');
            Files.move(file, pipe);
            Path next = folder.resolve("next.json");
            Files.writeString(next, configurationJson(thirdDiscovery));
            Files.move(next, file, StandardCopyOption.REPLACE_EXISTING);
            Thread newer = startReloadThread();
            FrontTestRig.await(
                    "the second reload is done or waits",
                    () -> newer.getState() == Thread.State.BLOCKED || !newer.isAlive());
            olderFile.write(configurationJson(secondDiscovery).getBytes(UTF_8));
        }
        older.join();
        // a node reconnects repeatedly to a discovery service that sends nothing, and only at the last address
        thirdDiscovery.nextConnection();
        thirdDiscovery.nextConnection();
    }
}
