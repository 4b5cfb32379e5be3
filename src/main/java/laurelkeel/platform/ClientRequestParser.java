package laurelkeel.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.options.SocketOptions;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import org.jspecify.annotations.Nullable;

/** Parses and validates client requests; thread-safe. */
final class ClientRequestParser {
    /** Longer than any header value that the platform generates, and short enough to store thousands of them. */
    private static final int MAX_HEADER_VALUE_CHARS = 128;

    private static final int UNKNOWN_ROUTE = -1;
    /** Tenant index of every request if the settings define no tenants. */
    private static final int DEFAULT_TENANT = 0;

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final Map<String, Integer> routeIndexes;
    private final Map<String, Integer> tenantIndexes;
    private final List<Settings.Route> routes;
    private final boolean clientsMarkRetries;

    ClientRequestParser(List<Settings.Route> routes, SocketOptions options) {
        this.routes = routes;
        routeIndexes = indexByName(options.routes());
        tenantIndexes = indexByName(options.tenants());
        clientsMarkRetries = options.clientsMarkRetries();
    }

    private static Map<String, Integer> indexByName(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        names.forEach(name -> indexes.put(name, indexes.size()));
        return indexes;
    }

    /** Returns the index of the route of this name; negative if there is none. */
    int routeIndex(String name) {
        return routeIndexes.getOrDefault(name, UNKNOWN_ROUTE);
    }

    /**
     * Parses a request.
     *
     * @throws HttpProtocolException if the request is invalid; its message becomes the body of the response
     */
    ClientRequest parse(HttpRequest request) throws HttpProtocolException {
        int routeIndex = routeIndex(firstPathSegment(request.path()));
        if (routeIndex == UNKNOWN_ROUTE) {
            throw new HttpProtocolException(NOT_FOUND, "no route has this path");
        }
        Settings.Route route = routes.get(routeIndex);
        checkMethod(request, route.idempotency());
        String requestId = requiredHeader(request, PlatformHeaders.REQUEST_ID);
        String idempotencyKey = route.idempotency() == Idempotency.DEDUPLICATED
                ? requiredHeader(request, PlatformHeaders.IDEMPOTENCY_KEY)
                : optionalHeader(request, PlatformHeaders.IDEMPOTENCY_KEY);
        int tenantIndex = parseTenantIndex(request);
        return new ClientRequest(
                requestId,
                forwardedMessage(request, requestId, idempotencyKey),
                false,
                request.closesConnection(),
                routeIndex,
                tenantIndex,
                optionalHeader(request, PlatformHeaders.PARTITION_KEY),
                parseRemainingTicks(request, route.timeoutTicks()),
                0,
                clientsMarkRetries
                        && PlatformHeaders.FLAG_SET.equals(request.headers().get(PlatformHeaders.CLIENT_RETRY)));
    }

    private static String firstPathSegment(String path) {
        int end = path.indexOf('/', 1);
        return end < 0 ? path.substring(1) : path.substring(1, end);
    }

    private static void checkMethod(HttpRequest request, Idempotency idempotency) throws HttpProtocolException {
        boolean idempotent = idempotency == Idempotency.IDEMPOTENT;
        String method = idempotent ? "GET" : "POST";
        if (!request.method().equals(method)) {
            throw new HttpProtocolException(METHOD_NOT_ALLOWED, "this path takes " + method);
        }
        if (idempotent && request.body().length > 0) {
            throw new HttpProtocolException(BAD_REQUEST, "a GET has no body");
        }
    }

    private int parseTenantIndex(HttpRequest request) throws HttpProtocolException {
        String name = optionalHeader(request, PlatformHeaders.TENANT);
        if (tenantIndexes.isEmpty()) {
            return DEFAULT_TENANT;
        }
        Integer index = name == null ? null : tenantIndexes.get(name);
        if (index == null) {
            throw new HttpProtocolException(BAD_REQUEST, PlatformHeaders.TENANT + " names no customer");
        }
        return index;
    }

    /** Builds the request for endpoints; of its headers, only the request id and the idempotency key are forwarded. */
    private static ForwardedMessage forwardedMessage(
            HttpRequest request, String requestId, @Nullable String idempotencyKey) {
        Headers headers = Headers.of(PlatformHeaders.REQUEST_ID, requestId);
        if (idempotencyKey != null) {
            headers.add(PlatformHeaders.IDEMPOTENCY_KEY, idempotencyKey);
        }
        return ForwardedMessage.of(
                new HttpRequest(request.method(), request.target(), 1, headers, request.body()), List.of());
    }

    private static String requiredHeader(HttpRequest request, String header) throws HttpProtocolException {
        String value = optionalHeader(request, header);
        if (value == null) {
            throw new HttpProtocolException(BAD_REQUEST, header + " is missing");
        }
        return value;
    }

    /** Returns the value of a header that may occur at most once; null if it is missing. */
    private static @Nullable String optionalHeader(HttpRequest request, String header) throws HttpProtocolException {
        String value = request.headers().get(header);
        if (value == null) {
            return null;
        }
        if (value.isEmpty()
                || value.length() > MAX_HEADER_VALUE_CHARS
                || request.headers().count(header) > 1) {
            throw new HttpProtocolException(
                    BAD_REQUEST, header + " must stand once, with 1 to " + MAX_HEADER_VALUE_CHARS + " characters");
        }
        return value;
    }

    /**
     * Returns the time that the client still waits, rounded down so that no response comes after the client gave up.
     */
    private static long parseRemainingTicks(HttpRequest request, long maxTicks) throws HttpProtocolException {
        String text = request.headers().get(PlatformHeaders.REMAINING_SECONDS);
        OptionalLong ticks = text == null ? OptionalLong.empty() : DecimalSeconds.parseTicks(text);
        if (ticks.isEmpty()) {
            throw new HttpProtocolException(
                    BAD_REQUEST, PlatformHeaders.REMAINING_SECONDS + " must be a number of seconds above 0");
        }
        return Math.min(maxTicks, ticks.getAsLong());
    }
}
