package laurelkeel.wire;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class HttpParserTest {
    private static final HttpLimits SMALL = new HttpLimits(200, 500, 8, 1000);

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static List<Object> readAll(HttpParser parser, byte[] all, int... cuts) throws HttpProtocolException {
        List<Object> out = new ArrayList<>();
        int from = 0;
        for (int i = 0; i <= cuts.length; i++) {
            int to = i < cuts.length ? Math.max(from, Math.min(cuts[i], all.length)) : all.length;
            ByteBuffer piece = ByteBuffer.wrap(Arrays.copyOfRange(all, from, to));
            while (piece.hasRemaining()) {
                Object message = parser.read(piece);
                if (message != null) {
                    out.add(message);
                }
            }
            from = to;
        }
        return out;
    }

    private static HttpParser requestParser() {
        return new HttpParser(HttpParser.MessageKind.REQUEST, SMALL);
    }

    @Test
    void responsesAreParsedFromArbitraryPieces() throws Exception {
        byte[] body = new byte[200];
        body[0] = 'r';
        HttpResponse response = new HttpResponse(200, Headers.of("X", "1"), body);
        byte[] one = new byte[HttpWriter.write(response).remaining()];
        HttpWriter.write(response).get(one);
        byte[] both = Arrays.copyOf(one, one.length * 2);
        System.arraycopy(one, 0, both, one.length, one.length);
        for (int cut = 0; cut < both.length; cut++) {
            List<Object> parsed =
                    readAll(new HttpParser(HttpParser.MessageKind.RESPONSE, HttpLimits.DEFAULT), both, cut, cut + 64);
            assertEquals(2, parsed.size(), "cut at " + cut);
            assertArrayEquals(body, ((HttpResponse) parsed.get(1)).body());
        }
    }

    record EncodedRequest(String text, HttpRequest expected) {}

    @Provide
    Arbitrary<EncodedRequest> encodedRequests() {
        Arbitrary<String> value =
                Arbitraries.strings().withCharRange(' ', '~').ofMaxLength(20).map(String::strip);
        Arbitrary<byte[]> body = Arbitraries.bytes().array(byte[].class).ofMaxSize(60);
        return Combinators.combine(value, body, Arbitraries.of(0, 1, 2)).as((v, b, form) -> {
            StringBuilder s = new StringBuilder("POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nV: " + v + "\r\n");
            String raw = new String(b, StandardCharsets.ISO_8859_1);
            if (form == 2) {
                s.append("Transfer-Encoding: chunked\r\n\r\n");
                for (int i = 0; i < b.length; i += 7) {
                    String part = raw.substring(i, Math.min(b.length, i + 7));
                    s.append(Integer.toHexString(part.length()))
                            .append(";ext=1\r\n")
                            .append(part)
                            .append("\r\n");
                }
                s.append("0\r\nTrailer: t\r\n\r\n");
            } else {
                s.append("Content-Length: ").append(b.length).append("\r\n\r\n").append(raw);
            }
            return new EncodedRequest(s.toString(), new HttpRequest("POST", "/a/b?x=1", 1, Headers.of("V", v), b));
        });
    }

    @Property(tries = 300)
    void pipelinedRequestsAreParsedFromArbitraryPieces(
            @ForAll("encodedRequests") EncodedRequest a,
            @ForAll("encodedRequests") EncodedRequest b,
            @ForAll int cut,
            @ForAll int second)
            throws HttpProtocolException {
        byte[] all = bytes(a.text + "\r\n" + b.text);
        int c = Math.floorMod(cut, all.length);
        List<Object> parsed = readAll(requestParser(), all, c, c + Math.floorMod(second, 40));
        assertEquals(2, parsed.size());
        for (int i = 0; i < 2; i++) {
            HttpRequest expected = (i == 0 ? a : b).expected;
            HttpRequest actual = (HttpRequest) parsed.get(i);
            assertArrayEquals(expected.body(), actual.body());
            assertEquals(expected.headers().get("V"), actual.headers().get("V"));
            assertEquals("/a/b", actual.path());
        }
    }

    @Property(tries = 2000)
    void corruptInputNeitherCrashesTheParserNorIsReadAfterAnError(
            @ForAll byte[] noise,
            @ForAll("encodedRequests") EncodedRequest message,
            @ForAll int at,
            @ForAll boolean responses) {
        byte[] all = bytes(message.text);
        for (int i = 0; i < noise.length && i < 6; i++) {
            all[Math.floorMod(at + i * 3, all.length)] = noise[i];
        }
        HttpParser parser =
                new HttpParser(responses ? HttpParser.MessageKind.RESPONSE : HttpParser.MessageKind.REQUEST, SMALL);
        try {
            readAll(parser, all, all.length / 2);
        } catch (HttpProtocolException e) {
            assertTrue(e.status() >= 400 && e.status() < 600, e.getMessage());
            ByteBuffer more = ByteBuffer.wrap(bytes(message.text));
            try {
                assertEquals(null, parser.read(more));
            } catch (HttpProtocolException again) {
                throw new AssertionError("reading continued after an error", again);
            }
        }
    }

    @Test
    void ambiguousInvalidAndOversizedRequestsAreRejected() {
        String head = "POST / HTTP/1.1\r\nHost: h\r\n";
        String[][] bad = {
            {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
            {head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", "400"},
            {head + "Content-Length: +3\r\n\r\n", "400"},
            {head + "Content-Length: 3, 3\r\n\r\n", "400"},
            {head + "Transfer-Encoding: gzip, chunked\r\n\r\n", "501"},
            {head + "Transfer-Encoding : chunked\r\n\r\n", "400"},
            {head + " folded: x\r\n\r\n", "400"},
            {head + "A: b\rC: d\r\n\r\n", "400"},
            {head + "A: b\0c\r\n\r\n", "400"},
            {"GET / HTTP/1.1\r\n\r\n", "400"},
            {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
            {"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
            {"GET http://x/ HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
            {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", "505"},
            {"nonsense\r\n", "400"},
            {"GET /" + "x".repeat(300) + " HTTP/1.1\r\n", "414"},
            {head + "A: " + "x".repeat(600) + "\r\n\r\n", "431"},
            {head + "A: b\r\n".repeat(9) + "\r\n", "431"},
            {head + "Content-Length: 1001\r\n\r\n", "413"},
            {head + "Content-Length: 99999999999\r\n\r\n", "413"},
            {head + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n", "413"},
            {head + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", "400"},
            {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", "400"},
            {head + "Transfer-Encoding: chunked\r\n\r\n1" + "0".repeat(20) + "\r\n", "400"}
        };
        for (String[] b : bad) {
            HttpProtocolException e =
                    assertThrows(HttpProtocolException.class, () -> readAll(requestParser(), bytes(b[0])), b[0]);
            assertEquals(b[1], Integer.toString(e.status()), b[0] + " -> " + e.getMessage());
        }
    }

    @Test
    void responsesEndByLengthStatusOrEndOfInput() throws Exception {
        HttpParser parser = new HttpParser(HttpParser.MessageKind.RESPONSE, SMALL);
        List<Object> parsed = readAll(
                parser,
                bytes("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.0 200 OK\r\n\r\nto the end"));
        assertEquals(
                List.of(204, 200),
                parsed.stream().map(a -> ((HttpResponse) a).status()).toList());
        assertEquals("to the end", new String(((HttpResponse) parser.finish()).body(), UTF_8));
        HttpParser head = new HttpParser(HttpParser.MessageKind.RESPONSE, SMALL);
        head.expectHeadResponse();
        assertEquals(
                1,
                readAll(head, bytes("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n"))
                        .size());
        assertTrue(head.isIdle());
    }
}
