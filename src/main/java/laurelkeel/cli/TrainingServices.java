package laurelkeel.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;

/**
 * Stub services for a node of the platform: endpoints, discovery with one update of the endpoint list, and a control
 * service with a rollout.
 *
 * @param discoveryAddress address of the discovery service
 * @param controlServiceAddress address of the control service
 * @param knownEndpoints the endpoint list before the update, in discovery's format
 */
record TrainingServices(String discoveryAddress, String controlServiceAddress, String knownEndpoints) {
    /** The body of every response of an endpoint. */
    static final String ENDPOINT_BODY = "ok";

    private static final int BASELINE_BUILD = 1;
    private static final int CANARY_BUILD = 2;

    /** Starts all stub services, which run until the process exits. */
    static TrainingServices start() throws IOException {
        String endpoint = LoopbackServer.start(TrainingServices::serveRequests);
        String known =
                endpoint("s-1", endpoint, BASELINE_BUILD, 0) + "," + endpoint("s-2", endpoint, BASELINE_BUILD, 0);
        String update = endpoint("s-3", endpoint, CANARY_BUILD, System.currentTimeMillis());
        return new TrainingServices(
                LoopbackServer.start((socket, in) -> sendUpdate(socket, in, update)),
                LoopbackServer.start(TrainingServices::serveControlCalls),
                "{\"version\":1,\"full\":true,\"servers\":[" + known + "]}");
    }

    private static String endpoint(String id, String address, int build, long startedMillis) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\"active\",\"weight\":1.0,\"started_ms\":"
                + startedMillis + ",\"revision_no\":" + build + "}";
    }

    private static void serveRequests(Socket socket, BufferedReader in) throws IOException {
        while (LoopbackServer.readHead(in)) {
            LoopbackServer.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Backend-Load: {\"inflight\":1}\r\nContent-Length: " + ENDPOINT_BODY.length()
                            + "\r\n\r\n" + ENDPOINT_BODY);
        }
    }

    private static void sendUpdate(Socket socket, BufferedReader in, String endpoint) throws IOException {
        LoopbackServer.readHead(in);
        String update = "{\"version\":2,\"full\":false,\"servers\":[" + endpoint + "]}\n";
        LoopbackServer.write(
                socket,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(update.length()) + "\r\n"
                        + update + "\r\n");
    }

    private static void serveControlCalls(Socket socket, BufferedReader in) throws IOException {
        String subscribed = "OK\r\n* progress 2 0 Progressing 0.5 10\r\n* metrics 2 get 3 0 8.5 900\r\n";
        String voted = "OK 2 0 Progressing 0.5 10\r\n";
        for (String call = in.readLine(); call != null; call = in.readLine()) {
            LoopbackServer.write(socket, call.equals("SUB") ? subscribed : voted);
        }
    }
}
