package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real nodes whose clients leave behind input that the node has not read (issue 51). */
class ClientDepartureTest {
    @TempDir
    Path folder;

    @Test
    void noAttemptBeginsAfterItsClientHasLeft() throws Exception {
        DepartureBench bench = new DepartureBench(NodeImage.make(folder), folder);
        List<DepartureResult> results = new ArrayList<>();
        for (DepartureCase each : List.of(
                new DepartureCase(NodeKind.SERVE, EndpointScript.RESETS_LATE, "", ClientDeparture.CLOSE),
                new DepartureCase(NodeKind.SERVE, EndpointScript.SERVES_LATE, "HUP", ClientDeparture.RESET),
                new DepartureCase(NodeKind.SERVE, EndpointScript.REFUSES_LATE, "TERM", ClientDeparture.HALF_CLOSE),
                new DepartureCase(NodeKind.FRONT, EndpointScript.SERVES_LATE, "", ClientDeparture.HALF_CLOSE))) {
            results.addAll(bench.run(each));
        }
        assertEquals(
                List.of(),
                results.stream()
                        .filter(DepartureResult::isBroken)
                        .map(DepartureResult::row)
                        .toList());
    }
}
