package laurelkeel.wire;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ForwardedMessageTest {
    private static final byte[] BODY = "body".getBytes(ISO_8859_1);

    private static String assemble(ForwardedMessage message, boolean withBody) {
        return new String(message.assemble(new MessageBuilder().appendHeader("Own", "1"), withBody), ISO_8859_1);
    }

    @Test
    void hopByHopAndExcludedHeadersAreNotForwarded() {
        Headers headers = Headers.of(
                "Host", "h", "Connection", "close, X-Hop", "X-Hop", "1", "TE", "x", "A", "\u00e9", "Secret", "s");
        HttpRequest request = new HttpRequest("POST", "/p", 1, headers, BODY);
        assertEquals(
                "POST /p HTTP/1.1\r\nA: \u00e9\r\nContent-Length: 4\r\nOwn: 1\r\n\r\nbody",
                assemble(ForwardedMessage.of(request, HopByHop.names("secret")), true));
    }

    @Test
    void responseToHeadHasTheLengthOfTheOmittedBody() {
        HttpResponse response = new HttpResponse(200, new Headers(), BODY);
        assertEquals(
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOwn: 1\r\n\r\n",
                assemble(ForwardedMessage.of(response, HopByHop.names()), false));
    }

    @Test
    void messagesWithoutNeedForContentLengthHaveNone() {
        HttpRequest get = new HttpRequest("GET", "/", 1, new Headers(), new byte[0]);
        assertTrue(assemble(ForwardedMessage.of(get, HopByHop.names()), true).startsWith("GET / HTTP/1.1\r\nOwn"));
        HttpResponse noContent = new HttpResponse(204, new Headers(), new byte[0]);
        assertTrue(assemble(ForwardedMessage.of(noContent, HopByHop.names()), true)
                .startsWith("HTTP/1.1 204 No Content\r\nOwn"));
    }
}
