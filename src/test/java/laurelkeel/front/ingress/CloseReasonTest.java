package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class CloseReasonTest {
    /** The labels are values of a metric's label, by which dashboards select: a renamed constant must not change them. */
    @Test
    void labelsAreStable() {
        assertEquals(
                List.of(
                        "CLIENT_CLOSED client_closed",
                        "CONNECTION_ERROR broken",
                        "IDLE_TIMEOUT idle",
                        "FIRST_REQUEST_TIMEOUT first_request_late",
                        "PARTIAL_REQUEST_TIMEOUT request_unfinished",
                        "WRITE_TIMEOUT write_stalled",
                        "EVICTED room_needed",
                        "CONNECTION_LIMIT_REACHED no_place",
                        "DRAINED drain",
                        "LAST_RESPONSE_WRITTEN last_answer",
                        "INTERNAL_ERROR internal_error",
                        "NODE_STOPPED front_ended"),
                Stream.of(CloseReason.values())
                        .map(reason -> reason.name() + " " + reason.label())
                        .toList());
    }

    /** Log lines print a reason as it is. */
    @Test
    void logLinesShowTheLabel() {
        for (CloseReason reason : CloseReason.values()) {
            assertEquals(reason.label(), reason.toString());
        }
    }
}
