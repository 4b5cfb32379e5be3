package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class WriteStallDetectorTest {
    private final WriteStallDetector detector = new WriteStallDetector();

    @Test
    void connectionWithoutPendingWritesIsNotStalled() {
        assertEquals(0, detector.stalledTicks(10, false, 100));
        assertEquals(0, detector.stalledTicks(10, false, 900));
    }

    @Test
    void pendingWritesAreStalledUntilAByteIsWritten() {
        assertEquals(0, detector.stalledTicks(10, true, 100));
        assertEquals(50, detector.stalledTicks(10, true, 150));
        assertEquals(0, detector.stalledTicks(11, true, 200));
        assertEquals(30, detector.stalledTicks(11, true, 230));
        assertEquals(0, detector.stalledTicks(11, false, 300));
    }
}
