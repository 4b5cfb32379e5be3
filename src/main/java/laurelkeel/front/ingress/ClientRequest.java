package laurelkeel.front.ingress;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Set;
import java.util.function.IntToLongFunction;
import laurelkeel.text.DecimalNumbers;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.HopByHop;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * A client's request with the properties that its headers specify. It is created on the I/O thread that read it.
 *
 * @param clientRequestId the id assigned by the client, unique among the requests in flight; null if the protocol has none
 * @param forwarded the part of the request that is sent to endpoints
 * @param headRequest whether this is a HEAD request, whose response has no body on the wire
 * @param closesConnection whether the client asked for the connection to be closed after the response
 * @param route index of the route
 * @param tenant index of the tenant
 * @param partitionKey null for none
 * @param remainingTicks time for which the client keeps waiting, at most the route's timeout
 * @param expectedWorkMillis the client's estimate of the work; 0 for none
 * @param clientRetry whether the client marked this as a retry of an earlier request
 */
public record ClientRequest(
        @Nullable String clientRequestId,
        ForwardedMessage forwarded,
        boolean headRequest,
        boolean closesConnection,
        int route,
        int tenant,
        @Nullable String partitionKey,
        long remainingTicks,
        double expectedWorkMillis,
        boolean clientRetry) {
    /** Headers that a front node sets itself; a client's values are not forwarded. */
    private static final Collection<String> NOT_FORWARDED =
            HopByHop.names(HeaderNames.REMAINING, HeaderNames.ATTEMPT, HeaderNames.FRONT);

    private static final int MAX_PARTITION_KEY_BYTES = 256;
    private static final double MAX_MILLIS = 1e9;
    private static final int TICKS_PER_MILLI = 10;
    private static final Set<String> TRUE_VALUES = Set.of("1", "true");

    /**
     * Interprets a request.
     *
     * @param timeoutTicks returns the timeout of a route by its index
     * @throws HttpProtocolException with a 4xx status and a message that names the invalid header and its expected value
     */
    public static ClientRequest read(HttpRequest http, RouteTable table, IntToLongFunction timeoutTicks)
            throws HttpProtocolException {
        int route = readRoute(http, table);
        int tenant = readTenant(http, table);
        requireIdempotencyKey(http, table.entries().get(route));
        String partitionKey = readPartitionKey(http);
        long remainingTicks = readRemainingTicks(http, timeoutTicks.applyAsLong(route));
        String clientRetry = http.headers().get(HeaderNames.CLIENT_RETRY);
        return new ClientRequest(
                null,
                ForwardedMessage.of(http, NOT_FORWARDED),
                http.method().equals("HEAD"),
                http.closesConnection(),
                route,
                tenant,
                partitionKey,
                remainingTicks,
                readMillis(http, HeaderNames.EXPECTED_WORK_MS, 0),
                clientRetry != null && TRUE_VALUES.contains(clientRetry));
    }

    private static int readRoute(HttpRequest http, RouteTable table) throws HttpProtocolException {
        int route = table.route(http.method(), http.path());
        if (route == RouteTable.UNKNOWN_PATH) {
            throw new HttpProtocolException(404, "no route has this path");
        }
        if (route == RouteTable.METHOD_NOT_ALLOWED) {
            throw new HttpProtocolException(405, "this path takes " + table.allowedMethods(http.path()));
        }
        return route;
    }

    private static int readTenant(HttpRequest http, RouteTable table) throws HttpProtocolException {
        int tenant = table.tenant(http.headers().get(HeaderNames.TENANT));
        if (tenant == RouteTable.UNKNOWN_TENANT) {
            throw new HttpProtocolException(400, HeaderNames.TENANT + " must name one of the customers set");
        }
        return tenant;
    }

    private static void requireIdempotencyKey(HttpRequest http, RouteTable.Entry route) throws HttpProtocolException {
        if (route.requiresIdempotencyKey() && http.headers().get(HeaderNames.IDEMPOTENCY_KEY) == null) {
            throw new HttpProtocolException(
                    400, "this route needs " + HeaderNames.IDEMPOTENCY_KEY + ", a mark of its own for each req");
        }
    }

    private static @Nullable String readPartitionKey(HttpRequest http) throws HttpProtocolException {
        String key = http.headers().get(HeaderNames.PARTITION_KEY);
        if (key != null
                && (key.isEmpty() || key.getBytes(StandardCharsets.ISO_8859_1).length > MAX_PARTITION_KEY_BYTES)) {
            throw new HttpProtocolException(
                    400, HeaderNames.PARTITION_KEY + " must have 1 to " + MAX_PARTITION_KEY_BYTES + " characters");
        }
        return key;
    }

    private static long readRemainingTicks(HttpRequest http, long timeoutTicks) throws HttpProtocolException {
        double remainingMillis = readMillis(http, HeaderNames.REMAINING, timeoutTicks / (double) TICKS_PER_MILLI);
        // rounded down, so that a response never arrives after the client has stopped waiting
        return Math.min(timeoutTicks, (long) Math.floor(remainingMillis * TICKS_PER_MILLI));
    }

    private static double readMillis(HttpRequest http, String header, double absent) throws HttpProtocolException {
        String value = http.headers().get(header);
        if (value == null) {
            return absent;
        }
        try {
            double millis = DecimalNumbers.parse(value);
            if (millis >= 0 && millis < MAX_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException ignored) {
            // reported below, as other invalid values are
        }
        throw new HttpProtocolException(400, header + " must be a number of milliseconds, as 2500 or 80.5");
    }

    /** Releases the bytes of the body to the budget from which they were reserved. */
    void releaseBody(ByteBudget budget) {
        budget.release(forwarded.body().length);
    }
}
