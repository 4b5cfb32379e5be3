package laurelkeel.soak;

import java.io.IOException;

/** The peer closed a connection regularly (end of stream) while a response, or the rest of one, was expected. */
final class ConnectionEndedException extends IOException {
    private static final long serialVersionUID = 1L;

    ConnectionEndedException(String message) {
        super(message);
    }
}
