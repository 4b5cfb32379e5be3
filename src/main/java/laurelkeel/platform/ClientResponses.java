package laurelkeel.platform;

import java.nio.charset.StandardCharsets;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpResponse;

/** Builds the responses that a front node generates itself; thread-safe. */
final class ClientResponses {
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private ClientResponses() {}

    /** Returns the response to an invalid request. */
    static HttpResponse badRequest(HttpProtocolException reason) {
        return plainText(reason.status(), String.valueOf(reason.getMessage()));
    }

    /**
     * Returns the response to a rejected request. The request had no effect, so the client may retry it.
     *
     * @param retryAfterTicks how long the client should wait before it retries; 0 to omit the header
     */
    static HttpResponse rejected(long retryAfterTicks, String reason) {
        HttpResponse response = plainText(SERVICE_UNAVAILABLE, reason);
        if (retryAfterTicks > 0) {
            response.headers().add(PlatformHeaders.RETRY_AFTER, DecimalSeconds.formatTicksAsMillis(retryAfterTicks));
        }
        return response;
    }

    /** Returns the response to a request that failed and may have had an effect. */
    static HttpResponse failed(boolean timedOut, String reason) {
        return plainText(timedOut ? GATEWAY_TIMEOUT : BAD_GATEWAY, reason);
    }

    private static HttpResponse plainText(int status, String text) {
        return new HttpResponse(
                status,
                Headers.of(PlatformHeaders.CONTENT_TYPE, "text/plain"),
                (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
