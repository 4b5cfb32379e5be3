package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class CloseReasonTest {
    /** Dashboards select by these. */
    @Test
    void theNamesAreTheLabelValuesOfTheMetric() {
        assertEquals(
                List.of(
                        "client_closed",
                        "broken",
                        "idle",
                        "first_request_late",
                        "request_unfinished",
                        "write_stalled",
                        "room_needed",
                        "no_place",
                        "drain",
                        "last_answer",
                        "internal_error",
                        "front_ended"),
                Stream.of(CloseReason.values())
                        .map(reason -> reason.name().toLowerCase(Locale.ROOT))
                        .toList());
    }
}
