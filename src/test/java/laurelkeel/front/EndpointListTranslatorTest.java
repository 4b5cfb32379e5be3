package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.controlplane.EndpointDescription;
import laurelkeel.front.controlplane.EndpointListMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EndpointListTranslatorTest {
    private static final long NOW_TICKS = 50_000_000;
    private static final String ENDPOINT = "10.0.0.1:80";

    @TempDir
    Path directory;

    private final ScheduledExecutorService writer = Executors.newSingleThreadScheduledExecutor();
    private EndpointListTranslator translator;

    @BeforeEach
    void createTranslator() throws Exception {
        EventLoop loop = new EventLoop(() -> NOW_TICKS);
        translator = new EndpointListTranslator(
                List.of("north", "south"),
                loop,
                new EndpointListCache(directory, writer),
                new ControlPlaneRecorder(null, 0, "incarnation", loop));
    }

    /** Waits for the writer, since it writes into the directory that JUnit deletes next. */
    @AfterEach
    void stopWriter() throws InterruptedException {
        writer.shutdown();
        assertTrue(writer.awaitTermination(10, TimeUnit.SECONDS));
    }

    private static EndpointDescription endpoint(
            String zone, double weight, EndpointState state, long incarnation, double ageMillis) {
        return new EndpointDescription(ENDPOINT, 4, zone, 0, 0, weight, state, incarnation, ageMillis);
    }

    private EndpointEntry translate(EndpointListKind kind, EndpointDescription endpoint, long arrivedAtTicks) {
        return translator
                .translate(new EndpointListMessage(kind, 1, 0, List.of(endpoint)), arrivedAtTicks)
                .entries()
                .get(0);
    }

    private EndpointEntry translate(EndpointDescription endpoint, long arrivedAtTicks) {
        return translate(EndpointListKind.DELTA, endpoint, arrivedAtTicks);
    }

    private static EndpointDescription started(long incarnation, double ageMillis) {
        return endpoint("north", 1, EndpointState.ACTIVE, incarnation, ageMillis);
    }

    @Test
    void theStartTimeIsComputedOnceFromTheAge() {
        assertEquals(NOW_TICKS - 5_000, translate(started(1, 500), NOW_TICKS).startedAtTicks());
        assertEquals(NOW_TICKS - 5_000, translate(started(1, 700), NOW_TICKS).startedAtTicks());
        assertEquals(NOW_TICKS - 100, translate(started(2, 10), NOW_TICKS).startedAtTicks(), "a new start");
    }

    @Test
    void aStartMoreThanAnHourAgoIsReportedAsLongAgo() {
        assertEquals(0, translate(started(1, -1), NOW_TICKS).startedAtTicks());
        assertEquals(0, translate(started(2, 3_600_001), NOW_TICKS).startedAtTicks());
        assertEquals(
                NOW_TICKS - 36_000_000,
                translate(started(3, 3_600_000), NOW_TICKS).startedAtTicks());
        assertEquals(1, translate(started(4, 3_600_000), 1_000).startedAtTicks(), "0 is reserved for starts long ago");
    }

    @Test
    void aRemovedEndpointThatReturnsHasANewStart() {
        translate(started(1, 500), NOW_TICKS);
        translate(endpoint("north", 1, EndpointState.REMOVED, 1, 600), NOW_TICKS);
        assertEquals(NOW_TICKS - 100, translate(started(1, 10), NOW_TICKS).startedAtTicks());
    }

    @Test
    void aSnapshotForgetsTheStartsOfEndpointsThatItDoesNotName() {
        translate(started(1, 500), NOW_TICKS);
        translator.translate(new EndpointListMessage(EndpointListKind.SNAPSHOT, 2, 0, List.of()), NOW_TICKS);
        assertEquals(NOW_TICKS - 100, translate(started(1, 10), NOW_TICKS).startedAtTicks());
    }

    @Test
    void zonesAreNumberedBySettingsAndThenByFirstAppearance() {
        assertEquals(
                1,
                translate(endpoint("south", 1, EndpointState.ACTIVE, 1, 0), NOW_TICKS)
                        .zone());
        assertEquals(
                2,
                translate(endpoint("west", 1, EndpointState.ACTIVE, 1, 0), NOW_TICKS)
                        .zone());
        assertEquals(
                3,
                translate(endpoint("east", 1, EndpointState.ACTIVE, 1, 0), NOW_TICKS)
                        .zone());
        assertEquals(
                2,
                translate(endpoint("west", 1, EndpointState.ACTIVE, 1, 0), NOW_TICKS)
                        .zone());
    }

    @Test
    void anEndpointWithoutWeightHasWeightOne() {
        assertEquals(
                1,
                translate(endpoint("north", 0, EndpointState.ACTIVE, 1, 0), NOW_TICKS)
                        .weight());
        assertEquals(
                2.5,
                translate(endpoint("north", 2.5, EndpointState.ACTIVE, 1, 0), NOW_TICKS)
                        .weight());
    }

    @Test
    void theCachedListIsReadAndItsAgesAreReplacedByLaterOnes() {
        assertEquals(EndpointListKind.CACHED, translator.cachedList().kind());
        assertEquals(NOW_TICKS - 5_000, translate(started(1, 500), NOW_TICKS).startedAtTicks());
    }
}
