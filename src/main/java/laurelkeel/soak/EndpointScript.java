package laurelkeel.soak;

import java.io.IOException;
import java.net.Socket;

/** How an endpoint of a {@link SingleNodeTestBed} treats each attempt. */
enum EndpointScript {
    /** Serves the attempt quickly. */
    SERVES(2),
    /** Serves the attempt after a time, so that the next request on the client's connection begins then. */
    SERVES_LATE(250),
    /** Resets the connection after a time, so that a retry is due then. */
    RESETS_LATE(250),
    /** Refuses the attempt after a time, so that a retry is due then. */
    REFUSES_LATE(250),
    /** Sends nothing for longer than any client waits, so that a timeout or a hedged attempt is due meanwhile. */
    SILENT(4_000);

    private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n"
            + "Laurelkeel-Ran: no\r\nContent-Length: 0\r\n\r\n";

    private final int delayMillis;

    EndpointScript(int delayMillis) {
        this.delayMillis = delayMillis;
    }

    /** Whether attempts are served. */
    boolean serves() {
        return this == SERVES || this == SERVES_LATE;
    }

    /** Responds to an attempt; returns whether the connection stays open. */
    boolean respond(Socket socket, String body) throws IOException, InterruptedException {
        Thread.sleep(delayMillis);
        switch (this) {
            case SERVES, SERVES_LATE ->
                HttpText.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            case REFUSES_LATE -> HttpText.write(socket, REFUSAL);
            case RESETS_LATE -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            case SILENT -> {
                return false;
            }
        }
        return true;
    }
}
