package laurelkeel.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.mina.core.session.IoSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Classifies the bytes that arrive on a connection behind a complete response although no further request has been sent. Not
 * thread-safe; used on the connection's I/O thread.
 */
final class SurplusInput {
    private static final Logger LOG = LoggerFactory.getLogger(SurplusInput.class);
    private static final int HTTP_VERSION_BYTES = "HTTP/1.1".length();
    /** Further bytes change nothing about whether the first ones are a copy. */
    private static final int DECISIVE_BYTES = "HTTP/1.1 200".length();

    /** What follows a response. */
    enum Kind {
        /** Nothing that has arrived yet. */
        NONE,
        /** A second copy of the response, which confirms its end. */
        COPY,
        /** Anything else, such as noise, or the rest of a body whose stated length is too short. */
        OTHER
    }

    private static final int NO_STATUS = 0;

    private int lastMinorVersion;
    /** The status of the last complete response; {@link #NO_STATUS} if there is none. */
    private int lastStatus = NO_STATUS;

    /**
     * Returns what has arrived behind a response that has just been completed.
     *
     * @param rest the rest of the read buffer; its position is not changed
     */
    Kind behind(IoSession session, HttpResponse response, ByteBuffer rest) {
        lastMinorVersion = response.minorVersion();
        lastStatus = response.status();
        ByteBuffer surplus = withReadAhead(session, rest);
        if (!surplus.hasRemaining()) {
            return Kind.NONE;
        }
        boolean isCopy = isCopyOf(response, surplus);
        LOG.info(
                "{}: a response with a body of {} bytes is followed by more bytes, {}",
                session.getRemoteAddress(),
                response.body().length,
                isCopy ? "a copy of it" : "which are no copy of it");
        return isCopy ? Kind.COPY : Kind.OTHER;
    }

    /**
     * Returns whether bytes that were read after the last complete response are a second copy of it.
     *
     * @param bytes their position is not changed
     */
    boolean isCopyOfLastResponse(ByteBuffer bytes) {
        return lastStatus != NO_STATUS && isCopy(lastMinorVersion, lastStatus, bytes);
    }

    /**
     * Returns whether the bytes are the beginning of a second copy of a response, or as much of it as has been read, but at least
     * its HTTP version.
     *
     * @param surplus its position is not changed
     */
    static boolean isCopyOf(HttpResponse response, ByteBuffer surplus) {
        return isCopy(response.minorVersion(), response.status(), surplus);
    }

    private static boolean isCopy(int minorVersion, int status, ByteBuffer surplus) {
        byte[] start = ("HTTP/1." + minorVersion + ' ' + status).getBytes(StandardCharsets.US_ASCII);
        return surplus.remaining() >= HTTP_VERSION_BYTES && HttpSyntax.haveCommonStart(start, surplus);
    }

    /**
     * Returns the rest of a read buffer and the beginning of the input that has arrived behind it, which would otherwise be
     * read only after the response has been passed on.
     */
    private static ByteBuffer withReadAhead(IoSession session, ByteBuffer rest) {
        SocketInput input = SocketInput.of(session);
        if (input == null || rest.remaining() >= DECISIVE_BYTES) {
            return rest;
        }
        try {
            ByteBuffer ahead = input.read();
            if (!ahead.hasRemaining()) {
                return rest;
            }
            return ByteBuffer.allocate(rest.remaining() + ahead.remaining())
                    .put(rest.duplicate())
                    .put(ahead)
                    .flip();
        } catch (IOException e) {
            // the connection has failed behind a complete response, which the I/O thread's next read reports too
            return rest;
        }
    }
}
