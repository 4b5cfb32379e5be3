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

/** What SIGHUP does, in the orders that a file's replacement and two signals may take. */
class ConfigurationReloaderTest {
    @TempDir
    Path folder;

    private PlatformTestBed.FakeServer first;
    private PlatformTestBed.FakeServer second;
    private PlatformTestBed.FakeServer third;
    private PlatformTestBed.FakeServer controlService;
    private Path file;
    private PlatformNode node;
    private ConfigurationReloader reloader;

    @BeforeEach
    void start() throws Exception {
        first = new PlatformTestBed.FakeServer();
        second = new PlatformTestBed.FakeServer();
        third = new PlatformTestBed.FakeServer();
        controlService = new PlatformTestBed.FakeServer();
        file = folder.resolve("config.json");
        Files.writeString(file, configurationJson(first));
        reloader = new ConfigurationReloader(file, Map.of());
        node = PlatformNode.create(
                NodeConfiguration.read(file, Map.of()), (settings, seed) -> (now, events) -> List.of());
        node.frontNode().start();
        first.nextConnection();
    }

    @AfterEach
    void end() throws Exception {
        node.frontNode().drain();
        for (PlatformTestBed.FakeServer server : List.of(first, second, third, controlService)) {
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

    private Thread startReload() {
        Thread reload = new Thread(() -> reloader.reload(node));
        reload.start();
        return reload;
    }

    @Test
    void aFileThatIsBeingReplacedIsReadAgain() throws Exception {
        String next = configurationJson(second);
        Files.writeString(file, next.substring(0, next.length() / 2));
        Thread reload = startReload();
        FrontTestRig.await(
                "it was read and could not be followed",
                () -> reload.getState() == Thread.State.TIMED_WAITING || !reload.isAlive());
        Files.writeString(file, next);
        second.nextConnection();
        reload.join();
    }

    /** The first signal's reader is held in the middle of its file until the second's is done or waits for it. */
    @Test
    void ofTwoSignalsTheNewestFileIsFollowedLast() throws Exception {
        Files.delete(file);
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        Path pipe = folder.resolve("pipe");
        Thread older = startReload();
        try (OutputStream held = Files.newOutputStream(file)) {
            held.write(' ');
            Files.move(file, pipe);
            Path next = folder.resolve("next.json");
            Files.writeString(next, configurationJson(third));
            Files.move(next, file, StandardCopyOption.REPLACE_EXISTING);
            Thread newer = startReload();
            FrontTestRig.await(
                    "it is done, or waits", () -> newer.getState() == Thread.State.BLOCKED || !newer.isAlive());
            held.write(configurationJson(second).getBytes(UTF_8));
        }
        older.join();
        // a service that sends nothing is connected to again and again, at the last address only
        third.nextConnection();
        third.nextConnection();
    }
}
