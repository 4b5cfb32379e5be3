package laurelkeel.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BodyBufferTest {
    private static void append(BodyBuffer body, int count) throws HttpProtocolException {
        body.append(ByteBuffer.wrap(new byte[count]), count);
    }

    @Test
    void bytesOfBodyStayReservedUntilReleased() throws Exception {
        ByteBudget budget = new ByteBudget(10_000);
        BodyBuffer body = new BodyBuffer(5_000, budget, null);
        append(body, 700);
        append(body, 1);
        assertTrue(budget.reservedBytes() >= 701);
        assertEquals(701, body.take().length);
        assertEquals(701, budget.reservedBytes());
        budget.release(701);
        body.begin();
        append(body, 10);
        body.discard();
        assertEquals(0, budget.reservedBytes());
        assertTrue(body.isEmpty());
    }

    @Test
    void bodyOverItsLimitOrTheBudgetIsRejected() throws Exception {
        BodyBuffer limited = new BodyBuffer(10, new ByteBudget(100), null);
        append(limited, 10);
        assertEquals(
                413,
                assertThrows(HttpProtocolException.class, () -> append(limited, 1))
                        .status());
        BodyBuffer overBudget = new BodyBuffer(10, new ByteBudget(9), null);
        assertEquals(
                503,
                assertThrows(HttpProtocolException.class, () -> append(overBudget, 10))
                        .status());
    }

    @Test
    void streamedBodyIsPassedOnInParts() throws Exception {
        List<byte[]> parts = new ArrayList<>();
        BodyBuffer body = new BodyBuffer(10, new ByteBudget(0), parts::add);
        body.append(ByteBuffer.wrap(new byte[] {1, 2, 3}), 2);
        append(body, 20);
        assertArrayEquals(new byte[] {1, 2}, parts.get(0));
        assertEquals(20, parts.get(1).length);
        assertEquals(0, body.take().length);
    }
}
