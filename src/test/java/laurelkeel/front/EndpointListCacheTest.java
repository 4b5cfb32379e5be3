package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.front.controlplane.EndpointDescription;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The file format stays compatible: files of earlier versions can be read, and are written in the same form. */
class EndpointListCacheTest {
    private static final String STORED =
            "[{\"machine\":\"10.0.0.1:80\",\"build\":4,\"zone\":\"north\",\"cell\":2,\"kind\":1,\"size\":1.5,"
                    + "\"state\":\"live\",\"run\":3,\"ageMs\":120.5},"
                    + "{\"machine\":\"10.0.0.2:80\",\"build\":5,\"zone\":\"south\",\"cell\":0,\"kind\":0,\"size\":0.0,"
                    + "\"state\":\"draining\",\"run\":0,\"ageMs\":-1.0}]";

    private static final List<EndpointDescription> ENDPOINTS = List.of(
            new EndpointDescription("10.0.0.1:80", 4, "north", 2, 1, 1.5, EndpointState.ACTIVE, 3, 120.5),
            new EndpointDescription("10.0.0.2:80", 5, "south", 0, 0, 0, EndpointState.DRAINING, 0, -1));

    @TempDir
    Path directory;

    private final ScheduledExecutorService writer = Executors.newSingleThreadScheduledExecutor();

    @AfterEach
    void stopWriter() {
        writer.shutdownNow();
    }

    private EndpointListCache cache() {
        return new EndpointListCache(directory, writer);
    }

    @Test
    void aFileOfAnEarlierVersionIsRead() throws Exception {
        Files.writeString(directory.resolve("list.json"), STORED);
        assertEquals(ENDPOINTS, cache().read());
    }

    @Test
    void aFileIsWrittenInTheFormOfEarlierVersions() throws Exception {
        cache().store(ENDPOINTS);
        writer.shutdown();
        assertTrue(writer.awaitTermination(10, TimeUnit.SECONDS));
        assertEquals(STORED, Files.readString(directory.resolve("list.json")));
    }

    @Test
    void theListIsEmptyIfTheFileIsMissingOrMalformed() throws Exception {
        assertEquals(List.of(), cache().read());
        for (String content : List.of("", "null", "[null]", "{}", "[{\"machine\":\"10.0.0.1:80\"}]", "[" + STORED)) {
            Files.writeString(directory.resolve("list.json"), content);
            assertEquals(List.of(), cache().read(), content);
        }
    }
}
