package laurelkeel.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class MediansTest {
    @Test
    void medianIsTheMiddleValueOrTheHigherOfTwo() {
        assertEquals(5.0, Medians.of(List.of(9, 1, 5), Integer::doubleValue));
        assertEquals(5.0, Medians.of(List.of(5, 1), Integer::doubleValue));
    }
}
