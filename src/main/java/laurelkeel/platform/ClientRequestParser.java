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

/** Parses the requests of the platform's clients; thread-safe. */
final class ClientRequestParser {
    /** Longer than any value that the platform makes, and short enough to keep thousands of them. */
    private static final int MAX_VALUE_CHARS = 128;

    private static final int UNKNOWN = -1;
    /** The tenant of every request where the settings have none. */
    private static final int ONLY_TENANT = 0;

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final Map<String, Integer> routeIndexes;
    private final Map<String, Integer> tenantIndexes;
    private final List<Settings.Route> routes;
    private final boolean clientsMarkRetries;

    ClientRequestParser(List<Settings.Route> routes, SocketOptions options) {
        this.routes = routes;
        routeIndexes = indexes(options.routes());
        tenantIndexes = indexes(options.tenants());
        clientsMarkRetries = options.clientsMarkRetries();
    }

    private static Map<String, Integer> indexes(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        names.forEach(name -> indexes.put(name, indexes.size()));
        return indexes;
    }

    /** The index of a route by its name; below 0 where there is none. */
    int routeIndex(String name) {
        return routeIndexes.getOrDefault(name, UNKNOWN);
    }

    /**
     * Parses a request.
     *
     * @throws HttpProtocolException where it cannot be accepted; its message goes to the client
     */
    ClientRequest parse(HttpRequest request) throws HttpProtocolException {
        int routeIndex = routeIndex(firstPathSegment(request.path()));
        if (routeIndex == UNKNOWN) {
            throw new HttpProtocolException(NOT_FOUND, "no route has this path");
        }
        Settings.Route route = routes.get(routeIndex);
        checkMethod(request, route.idempotency());
        String requestId = requiredValue(request, PlatformHeaders.REQUEST_ID);
        String idempotencyKey = route.idempotency() == Idempotency.DEDUPLICATED
                ? requiredValue(request, PlatformHeaders.IDEMPOTENCY_KEY)
                : value(request, PlatformHeaders.IDEMPOTENCY_KEY);
        int tenant = tenant(request);
        return new ClientRequest(
                requestId,
                forwarded(request, requestId, idempotencyKey),
                false,
                request.closesConnection(),
                routeIndex,
                tenant,
                value(request, PlatformHeaders.PARTITION_KEY),
                remainingTicks(request, route.timeoutTicks()),
                0,
                clientsMarkRetries
                        && PlatformHeaders.YES.equals(request.headers().get(PlatformHeaders.CLIENT_RETRY)));
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

    private int tenant(HttpRequest request) throws HttpProtocolException {
        String name = value(request, PlatformHeaders.TENANT);
        if (tenantIndexes.isEmpty()) {
            return ONLY_TENANT;
        }
        Integer index = name == null ? null : tenantIndexes.get(name);
        if (index == null) {
            throw new HttpProtocolException(BAD_REQUEST, PlatformHeaders.TENANT + " names no customer");
        }
        return index;
    }

    /** What goes on to an endpoint: the request with its id and key alone, without other headers. */
    private static ForwardedMessage forwarded(HttpRequest request, String requestId, @Nullable String idempotencyKey) {
        Headers headers = Headers.of(PlatformHeaders.REQUEST_ID, requestId);
        if (idempotencyKey != null) {
            headers.add(PlatformHeaders.IDEMPOTENCY_KEY, idempotencyKey);
        }
        return ForwardedMessage.of(
                new HttpRequest(request.method(), request.target(), 1, headers, request.body()), List.of());
    }

    private static String requiredValue(HttpRequest request, String header) throws HttpProtocolException {
        String value = value(request, header);
        if (value == null) {
            throw new HttpProtocolException(BAD_REQUEST, header + " is missing");
        }
        return value;
    }

    /** The value of a header that may stand once at most; null where it is missing. */
    private static @Nullable String value(HttpRequest request, String header) throws HttpProtocolException {
        String value = request.headers().get(header);
        if (value == null) {
            return null;
        }
        if (value.isEmpty()
                || value.length() > MAX_VALUE_CHARS
                || request.headers().count(header) > 1) {
            throw new HttpProtocolException(
                    BAD_REQUEST, header + " must stand once, with 1 to " + MAX_VALUE_CHARS + " characters");
        }
        return value;
    }

    /** Rounded down: the client must never be answered later than it waits. */
    private static long remainingTicks(HttpRequest request, long maxTicks) throws HttpProtocolException {
        String text = request.headers().get(PlatformHeaders.REMAINING_SECONDS);
        OptionalLong ticks = text == null ? OptionalLong.empty() : DecimalSeconds.parseTicks(text);
        if (ticks.isEmpty()) {
            throw new HttpProtocolException(
                    BAD_REQUEST, PlatformHeaders.REMAINING_SECONDS + " must be a number of seconds above 0");
        }
        return Math.min(maxTicks, ticks.getAsLong());
    }
}
