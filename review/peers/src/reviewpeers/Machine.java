package reviewpeers;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/** A machine: answers each attempt with a body that names the attempt's id. */
class Machine extends Peer {
    final String id;
    final Record record;

    Machine(String id, Record record) throws IOException {
        this.id = id;
        this.record = record;
    }

    static String body(String correlationId) {
        return "answer to " + correlationId;
    }

    static String ok(String correlationId) {
        String body = body(correlationId);
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    void serve(Socket socket, InputStream in) throws Exception {
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            String correlationId = request.header("x-correlation-id");
            record.line("machine %s runs %s %s", id, request.start(), correlationId);
            answer(socket, request, correlationId);
        }
    }

    void answer(Socket socket, Http.Message request, String correlationId) throws Exception {
        Thread.sleep(20);
        write(socket, ok(correlationId));
    }
}
