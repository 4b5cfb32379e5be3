package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import laurelkeel.attribution.LoadClassifier.Level;
import org.junit.jupiter.api.Test;

class LoadClassifierTest {
    private final LoadClassifier classifier = new LoadClassifier();

    private Level run(int seconds, int attempts) {
        Level level = Level.EVEN;
        for (int i = 0; i < seconds; i++) {
            level = classifier.addSecond(attempts);
        }
        return level;
    }

    @Test
    void aLoadThatHardlyChangesIsEven() {
        run(30, 100);
        assertEquals(Level.EVEN, run(30, 110));
    }

    @Test
    void secondsInTheUpperHalfOfTheRangeAreBusy() {
        run(30, 100);
        assertEquals(Level.BUSY, run(10, 200));
        assertEquals(Level.CALM, run(10, 110));
    }

    @Test
    void aNewLoadIsEvenAfterOneMinute() {
        run(30, 100);
        assertEquals(Level.EVEN, run(70, 200));
    }
}
