package laurelkeel.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.locks.LockSupport;

/** How the misbehaving clients of a {@link FloodBench} load a node. */
public enum FloodKind {
    /** There are no misbehaving clients. */
    NONE(0, true) {
        @Override
        void send(Socket socket, String name, RunClock clock) {}
    },
    /** Clients that send a large request in small pieces. */
    SLOW_WRITERS(FloodBench.CROWD_CLIENTS, true) {
        @Override
        void send(Socket socket, String name, RunClock clock) throws IOException, InterruptedException {
            String request = largeRequest(name);
            for (int at = 0; at < request.length(); at += PIECE_BYTES) {
                HttpText.write(socket, request.substring(at, Math.min(request.length(), at + PIECE_BYTES)));
                Thread.sleep(PIECE_MILLIS);
            }
        }
    },
    /** Clients that send half of a large request and stay. */
    HALF_REQUESTS(FloodBench.CROWD_CLIENTS, true) {
        @Override
        void send(Socket socket, String name, RunClock clock) throws IOException {
            String request = largeRequest(name);
            HttpText.write(socket, request.substring(0, request.length() - SoakRequest.LARGE_BODY.length() / 2));
        }
    },
    /** Clients that send several large requests at once. */
    LARGE_REQUESTS(FloodBench.CROWD_CLIENTS, true) {
        @Override
        void send(Socket socket, String name, RunClock clock) throws IOException {
            for (int i = 0; i < REQUESTS_OF_EACH; i++) {
                HttpText.write(socket, largeRequest(name + "-" + i));
            }
        }
    },
    /** Clients whose heads have far more short fields than are allowed. */
    MANY_FIELDS(FloodBench.CROWD_CLIENTS, true) {
        @Override
        void send(Socket socket, String name, RunClock clock) throws IOException {
            HttpText.write(socket, "GET /look/" + name + " HTTP/1.1\r\n" + "a:b\r\n".repeat(MANY_FIELD_COUNT));
        }
    },
    /** Clients whose heads have just less fields than are allowed, and never end. */
    UNFINISHED_HEADS(FloodBench.CROWD_CLIENTS, true) {
        @Override
        void send(Socket socket, String name, RunClock clock) throws IOException {
            HttpText.write(
                    socket,
                    "GET /look/" + name + " HTTP/1.1\r\n"
                            + ("a:" + "b".repeat(LONG_FIELD_BYTES) + "\r\n").repeat(ALLOWED_FIELD_COUNT));
        }
    },
    /** One client that sends valid requests at full speed, each with new names, and reads the responses. */
    SOUND(1, true) {
        @Override
        String request(String name, int number) {
            return new SoakRequest(name + "-" + number, true, "key-" + number, 1, "").text();
        }
    },
    /** As {@link #SOUND}, and the responses are never read. */
    SOUND_UNREAD(1, false) {
        @Override
        String request(String name, int number) {
            return SOUND.request(name, number);
        }
    },
    /** One client that sends requests of unknown routes at full speed, each with a new name, and reads the responses. */
    UNKNOWN_ROUTES(1, true) {
        @Override
        String request(String name, int number) {
            return "GET /route" + number + "/x HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: " + name + number + "\r\n\r\n";
        }
    },
    /** As {@link #UNKNOWN_ROUTES}, and the responses are never read. */
    UNKNOWN_ROUTES_UNREAD(1, false) {
        @Override
        String request(String name, int number) {
            return UNKNOWN_ROUTES.request(name, number);
        }
    },
    /** One client that sends requests of unknown tenants at full speed, each with a new name, and reads the responses. */
    UNKNOWN_TENANTS(1, true) {
        @Override
        String request(String name, int number) {
            return SOUND.request(name, number).replace("X-Account: acme", "X-Account: t" + number);
        }
    },
    /** One client that requests the node's health at full speed, and reads the responses. */
    HEALTH_CHECKS(1, true) {
        @Override
        String request(String name, int number) {
            return SoakRequest.HEALTH_CHECK;
        }
    },
    /** As {@link #HEALTH_CHECKS}, and the responses are never read. */
    HEALTH_CHECKS_UNREAD(1, false) {
        @Override
        String request(String name, int number) {
            return HEALTH_CHECKS.request(name, number);
        }
    },
    /** One client that sends a few requests of unknown routes at a time, many times a second, and never reads the responses. */
    PACED_UNREAD(1, false) {
        @Override
        void send(Socket socket, String name, RunClock clock) throws IOException {
            double end = clock.seconds() + FLOOD_SECONDS;
            for (int number = 0; clock.seconds() < end; number++) {
                HttpText.write(socket, UNKNOWN_ROUTES.request(name, number).repeat(PACED_REQUESTS));
                LockSupport.parkNanos(PACE_NANOS);
            }
        }
    };

    private static final int PIECE_BYTES = 1 << 10;
    private static final int PIECE_MILLIS = 50;
    private static final int REQUESTS_OF_EACH = 8;
    private static final int MANY_FIELD_COUNT = 1_500;
    private static final int ALLOWED_FIELD_COUNT = 60;
    private static final int LONG_FIELD_BYTES = 120;
    private static final int REQUESTS_PER_WRITE = 64;
    private static final int PACED_REQUESTS = 3;
    private static final long PACE_NANOS = 50_000;
    static final double FLOOD_SECONDS = 5;

    private final int clients;
    private final boolean readsResponses;

    FloodKind(int clients, boolean readsResponses) {
        this.clients = clients;
        this.readsResponses = readsResponses;
    }

    int clients() {
        return clients;
    }

    boolean readsResponses() {
        return readsResponses;
    }

    private static String largeRequest(String name) {
        return new SoakRequest(name, false, "k" + name, 1, SoakRequest.LARGE_BODY).text();
    }

    /** Returns one request of a client that sends at full speed. */
    String request(String name, int number) {
        throw new UnsupportedOperationException(this + " sends no request at full speed");
    }

    /** Sends what one client of this kind sends; by default requests at full speed for some seconds. */
    void send(Socket socket, String name, RunClock clock) throws IOException, InterruptedException {
        double end = clock.seconds() + FLOOD_SECONDS;
        StringBuilder batch = new StringBuilder();
        for (int number = 0; clock.seconds() < end; number += REQUESTS_PER_WRITE) {
            batch.setLength(0);
            for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
                batch.append(request(name, number + i));
            }
            HttpText.write(socket, batch.toString());
        }
    }
}
