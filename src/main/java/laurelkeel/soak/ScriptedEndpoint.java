package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Map;

/** An endpoint that treats every attempt by its script, and health checks as those of a healthy endpoint; thread-safe. */
final class ScriptedEndpoint extends TcpServer {
    /** Stands in the path of requests that come again with the id of an earlier one; they are recorded under the id and this. */
    static final String AGAIN = "/again";

    private static final String NO_CONTENT = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private final String id;
    private final AttemptRecorder recorder;
    private final EndpointScript script;

    ScriptedEndpoint(String id, AttemptRecorder recorder, EndpointScript script) throws IOException {
        this.id = id;
        this.recorder = recorder;
        this.script = script;
    }

    String id() {
        return id;
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException, InterruptedException {
        for (String requestLine = HttpText.readLine(in); requestLine != null; requestLine = HttpText.readLine(in)) {
            Map<String, String> headers = HttpText.readHeaders(in);
            in.readNBytes(HttpText.contentLength(headers));
            String requestId = headers.get("x-correlation-id");
            if (requestId == null) {
                HttpText.write(socket, NO_CONTENT);
                continue;
            }
            if (requestLine.contains(AGAIN)) {
                requestId += AGAIN;
            }
            recorder.attemptReceived(requestId);
            boolean staysOpen = script.respond(socket, FaultyEndpoint.body(id, requestId));
            if (script.serves()) {
                recorder.served(requestId);
            }
            if (!staysOpen) {
                return;
            }
        }
    }
}
