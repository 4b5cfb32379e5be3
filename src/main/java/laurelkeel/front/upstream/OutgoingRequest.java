package laurelkeel.front.upstream;

import org.jspecify.annotations.Nullable;

/** A request to an endpoint, which may have to wait for a connection. */
@FunctionalInterface
public interface OutgoingRequest {
    /**
     * Returns the bytes of the request, or null if it may no longer be sent. Called on the event loop's thread when a connection is
     * available.
     */
    byte @Nullable [] createMessage();

    /** Whether the response has no body, because this is a HEAD request. */
    default boolean isHeadRequest() {
        return false;
    }

    /** Whether the request may still be written. Called on an I/O thread immediately before its first byte is written. */
    default boolean mayBeWritten() {
        return true;
    }
}
