package laurelkeel.wire;

import java.util.Collection;

/**
 * A message on its way from one connection to another. What may cross is encoded by the thread that read it; the
 * one thread that decides only adds this hop's own lines.
 *
 * @param head the first line, the headers that cross and the body's length, without the empty line
 */
public record ForwardedMessage(byte[] head, byte[] body) {

    /** @param leftOut names that end here beside those that end at every hop */
    public static ForwardedMessage of(HttpRequest r, Collection<String> leftOut) {
        MessageBuilder to = new MessageBuilder()
                .appendText(r.method())
                .appendText(" ")
                .appendText(r.target())
                .appendText(" HTTP/1.1\r\n");
        HopByHop.appendForwardable(r.headers(), to, leftOut);
        return ended(to, r.body(), HttpWriter.hasContentLength(r));
    }

    /** @param leftOut as above */
    public static ForwardedMessage of(HttpResponse a, Collection<String> leftOut) {
        MessageBuilder to = new MessageBuilder().appendText(HttpWriter.statusLine(a.status()));
        HopByHop.appendForwardable(a.headers(), to, leftOut);
        return ended(to, a.body(), a.status() != 204);
    }

    private static ForwardedMessage ended(MessageBuilder to, byte[] body, boolean length) {
        if (length) {
            to.appendHeader("Content-Length", Integer.toString(body.length));
        }
        return new ForwardedMessage(to.takeBytes(), body);
    }

    /** The whole message: own lines, each with its end, stand after those that crossed. */
    public byte[] assemble(MessageBuilder own, boolean withBody) {
        byte[] mine = own.appendText("\r\n").takeBytes();
        byte[] out = new byte[head.length + mine.length + (withBody ? body.length : 0)];
        System.arraycopy(head, 0, out, 0, head.length);
        System.arraycopy(mine, 0, out, head.length, mine.length);
        if (withBody) {
            System.arraycopy(body, 0, out, head.length + mine.length, body.length);
        }
        return out;
    }
}
