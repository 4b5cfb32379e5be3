package laurelkeel.wire;

import java.util.Collection;

/**
 * The encoded part of a message that is forwarded from one connection to another. The I/O thread that read the message encodes
 * it, so that the event loop's thread only has to add the header lines of this hop.
 *
 * @param head the start line, the forwarded headers and the Content-Length header, without the empty line
 * @param body not copied; must not be modified
 */
// copying the arrays would slow down every request; forwarded messages are not compared
@SuppressWarnings("ArrayRecordComponent")
public record ForwardedMessage(byte[] head, byte[] body) {
    private static final int NO_CONTENT = 204;

    /**
     * Encodes a request.
     *
     * @param excluded names of headers that are not forwarded, in addition to the hop-by-hop headers
     */
    public static ForwardedMessage of(HttpRequest request, Collection<String> excluded) {
        MessageBuilder head = new MessageBuilder()
                .appendText(request.method())
                .appendText(" ")
                .appendText(request.target())
                .appendText(" HTTP/1.1\r\n");
        HopByHop.appendForwardable(request.headers(), head, excluded);
        return complete(head, request.body(), HttpWriter.hasContentLength(request));
    }

    /**
     * Encodes a response.
     *
     * @param excluded names of headers that are not forwarded, in addition to the hop-by-hop headers
     */
    public static ForwardedMessage of(HttpResponse response, Collection<String> excluded) {
        MessageBuilder head = new MessageBuilder().appendText(HttpWriter.statusLine(response.status()));
        HopByHop.appendForwardable(response.headers(), head, excluded);
        return complete(head, response.body(), response.status() != NO_CONTENT);
    }

    private static ForwardedMessage complete(MessageBuilder head, byte[] body, boolean hasContentLength) {
        if (hasContentLength) {
            head.appendHeader("Content-Length", Integer.toString(body.length));
        }
        return new ForwardedMessage(head.takeBytes(), body);
    }

    /**
     * Returns the bytes of the complete message.
     *
     * @param ownHeaders header lines of this hop, each with its CRLF, which follow the forwarded ones
     * @param withBody false for the response to a HEAD request
     */
    public byte[] assemble(MessageBuilder ownHeaders, boolean withBody) {
        byte[] own = ownHeaders.appendText("\r\n").takeBytes();
        byte[] message = new byte[head.length + own.length + (withBody ? body.length : 0)];
        System.arraycopy(head, 0, message, 0, head.length);
        System.arraycopy(own, 0, message, head.length, own.length);
        if (withBody) {
            System.arraycopy(body, 0, message, head.length + own.length, body.length);
        }
        return message;
    }
}
