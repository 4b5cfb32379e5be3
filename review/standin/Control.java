package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The platform's control service: one released build. */
final class Control extends Server {
    private final String state;

    Control(int build) throws IOException {
        state = build + " 2 Healthy 1.0 600000";
    }

    @Override
    void serve(Socket socket) throws Exception {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.equals("SUB")) {
                Machine.write(socket, "OK\r\n* progress " + state + "\r\n");
                daemon("signs of life", () -> {
                    while (!socket.isClosed()) {
                        Thread.sleep(1_000);
                        Machine.write(socket, "*\r\n");
                    }
                });
            } else if (line.startsWith("SAY ")) {
                Machine.write(socket, "OK " + state + "\r\n");
            } else {
                Machine.write(socket, "ERR bad_request\r\n");
            }
        }
    }
}
