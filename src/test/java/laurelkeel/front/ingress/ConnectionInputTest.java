package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.Random;
import laurelkeel.wire.ByteBudget;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.DummySession;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.Test;

class ConnectionInputTest {
    private static final int MAX_UNANSWERED = 4;
    /** Each of these bytes stands for a request. */
    private static final byte REQUEST = 'r';

    private final ByteBudget budget = new ByteBudget(1 << 20);
    private final DummySession session = new DummySession();
    private final ConnectionInput input = new ConnectionInput(session, MAX_UNANSWERED, budget);
    private final ByteArrayOutputStream decoded = new ByteArrayOutputStream();

    /** Counts the requests that pass it, as the codec and the handler behind it do. */
    private final class CountingFilter extends IoFilterAdapter {
        @Override
        public void messageReceived(NextFilter next, IoSession from, Object message) {
            IoBuffer bytes = (IoBuffer) message;
            while (bytes.hasRemaining()) {
                byte each = bytes.get();
                decoded.write(each);
                if (each == REQUEST) {
                    input.requestDecoded();
                }
            }
        }
    }

    private void receive(byte[] bytes) {
        // the filter in front of the counting one passes what it gets through the connection's input
        session.getFilterChain().fireMessageReceived(IoBuffer.wrap(bytes));
    }

    private void buildChain() {
        session.getFilterChain().addLast("input", new IoFilterAdapter() {
            @Override
            public void messageReceived(NextFilter next, IoSession from, Object message) {
                input.received(next, (IoBuffer) message);
            }
        });
        session.getFilterChain().addLast("count", new CountingFilter());
    }

    private static byte[] requests(int count) {
        byte[] bytes = new byte[count];
        java.util.Arrays.fill(bytes, REQUEST);
        return bytes;
    }

    @Test
    void inputBehindTooManyUnansweredRequestsIsHeldAndReadingGoesOn() {
        buildChain();
        receive(requests(MAX_UNANSWERED + 1));
        receive(requests(3));
        assertEquals(MAX_UNANSWERED + 1, input.decodedRequests());
        assertTrue(input.isHolding());
        assertFalse(session.isReadSuspended());
        assertFalse(input.isUnread());
        assertFalse(input.requestAnswered());
        assertTrue(input.requestAnswered(), "few enough are unanswered");
        input.resume();
        assertEquals(MAX_UNANSWERED + 4, input.decodedRequests());
        assertFalse(input.isHolding());
        assertEquals(0, budget.reservedBytes());
    }

    @Test
    void readingStopsAtTheLimitAndGoesOnWhenHalfIsDecoded() {
        buildChain();
        receive(requests(MAX_UNANSWERED + 1));
        receive(new byte[ConnectionInput.MAX_HELD_BYTES]);
        assertTrue(session.isReadSuspended());
        assertTrue(input.isUnread());
        input.requestAnswered();
        input.resume();
        assertFalse(session.isReadSuspended());
        assertTrue(input.isUnread(), "nothing has been read since");
        input.drained();
        assertFalse(input.isUnread());
        assertEquals(0, input.unreadMillis());
    }

    @Test
    void readingStopsWhenTheMemoryOfAllConnectionsIsUsedUp() {
        buildChain();
        receive(requests(MAX_UNANSWERED + 1));
        budget.reserve(1 << 20);
        receive(requests(1));
        assertTrue(input.isUnread());
        for (int i = 0; i < MAX_UNANSWERED; i++) {
            input.requestAnswered();
        }
        input.resume();
        assertFalse(session.isReadSuspended(), "it holds nothing more");
    }

    @Test
    void inputArrivesWholeAndInOrderHoweverItIsHeld() {
        buildChain();
        Random random = new Random(51);
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = new byte[random.nextInt(700)];
            random.nextBytes(bytes);
            sent.writeBytes(bytes);
            receive(bytes);
            while (input.unansweredRequests() > 0 && random.nextInt(3) > 0) {
                if (input.requestAnswered()) {
                    input.resume();
                }
            }
        }
        while (!input.isAnswered()) {
            if (input.unansweredRequests() == 0 || input.requestAnswered()) {
                input.resume();
            }
        }
        assertArrayEquals(sent.toByteArray(), decoded.toByteArray());
        assertEquals(0, budget.reservedBytes());
    }
}
