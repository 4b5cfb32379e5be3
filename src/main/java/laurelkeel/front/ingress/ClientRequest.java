package laurelkeel.front.ingress;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Set;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.HopByHop;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;

/**
 * One req as its headers name it, read by the thread that has its connection.
 *
 * @param id the client's own name of the req, of which no two may be open at once; null where it may name none
 * @param crossing what of it goes on to a machine
 * @param toHead its answer has no body on the wire
 * @param last its client wants the connection to end with the answer
 * @param key null where there is none
 * @param remaining tenths of a millisecond, at most the route's timeout
 * @param cost 0 where the client did not say
 */
public record ClientRequest(
        String clientRequestId,
        ForwardedMessage forwarded,
        boolean headRequest,
        boolean closesConnection,
        int route,
        int tenant,
        String partitionKey,
        long remainingTicks,
        double expectedWorkMillis,
        boolean clientRetry) {
    /** What only a front says: a peer that says it is not believed, and what it says ends here. */
    private static final Collection<String> OWN =
            HopByHop.names(HeaderNames.REMAINING, HeaderNames.ATTEMPT, HeaderNames.FRONT);

    private static final int LONGEST_KEY = 256;
    private static final Set<String> YES = Set.of("1", "true");

    /** Reads the names; a 4xx says which header is wrong and what it should hold. */
    public static ClientRequest read(HttpRequest http, RouteTable table, java.util.function.IntToLongFunction timeouts)
            throws HttpProtocolException {
        int route = table.route(http.method(), http.path());
        if (route == -1) {
            throw new HttpProtocolException(404, "no route has this path");
        }
        if (route == -2) {
            throw new HttpProtocolException(405, "this path takes " + table.allowedMethods(http.path()));
        }
        int customer = table.tenant(http.headers().get(HeaderNames.TENANT));
        if (customer < 0) {
            throw new HttpProtocolException(400, HeaderNames.TENANT + " must name one of the customers set");
        }
        if (table.entries().get(route).requiresIdempotencyKey()
                && http.headers().get(HeaderNames.IDEMPOTENCY_KEY) == null) {
            throw new HttpProtocolException(
                    400, "this route needs " + HeaderNames.IDEMPOTENCY_KEY + ", a mark of its own for each req");
        }
        String key = http.headers().get(HeaderNames.PARTITION_KEY);
        if (key != null && (key.isEmpty() || key.getBytes(StandardCharsets.ISO_8859_1).length > LONGEST_KEY)) {
            throw new HttpProtocolException(
                    400, HeaderNames.PARTITION_KEY + " must have 1 to " + LONGEST_KEY + " characters");
        }
        double left = number(http, HeaderNames.REMAINING, timeouts.applyAsLong(route) / 10.0);
        // deadlines round down: the client must never be answered later than it waits
        long remaining = Math.min(timeouts.applyAsLong(route), (long) Math.floor(left * 10));
        String again = http.headers().get(HeaderNames.CLIENT_RETRY);
        return new ClientRequest(
                null,
                ForwardedMessage.of(http, OWN),
                http.method().equals("HEAD"),
                http.closesConnection(),
                route,
                customer,
                key,
                remaining,
                number(http, HeaderNames.EXPECTED_WORK_MS, 0),
                again != null && YES.contains(again));
    }

    private static double number(HttpRequest http, String name, double absent) throws HttpProtocolException {
        String s = http.headers().get(name);
        if (s == null) {
            return absent;
        }
        try {
            double d = Double.parseDouble(s);
            if (d >= 0 && d < 1e9) {
                return d;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new HttpProtocolException(400, name + " must be a number of milliseconds, as 2500 or 80.5");
    }
}
