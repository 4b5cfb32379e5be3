package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonObjectReaderTest {
    private static final int MAX_OBJECT_BYTES = 32;

    private final JsonObjectReader reader = new JsonObjectReader(MAX_OBJECT_BYTES);
    private final List<String> objects = new ArrayList<>();

    private boolean read(String text) throws UnusableMessageException {
        return reader.read(text.getBytes(StandardCharsets.UTF_8), object -> objects.add(object.toString()));
    }

    @Test
    void objectsAreAssembledFromBytesInAnyPieces() throws Exception {
        String text = "{\"a\":[1,{\"b\":2}]}\r\n\r\n{ \"c\":\n3 }";
        for (String character : PlatformTestBed.characters(text)) {
            read(character);
        }
        assertTrue(read("{}{\"d\":4}"));
        assertEquals(List.of("{\"a\":[1,{\"b\":2}]}", "{\"c\":3}", "{}", "{\"d\":4}"), objects);
    }

    @Test
    void onlyACompleteObjectOrABlankLineCountsAsReceived() throws Exception {
        assertFalse(read("{\"a\":"));
        assertFalse(read("\n"));
        assertTrue(read("1}"));
        assertTrue(read(" \r\n"));
        assertFalse(read(" "));
    }

    @Test
    void anythingButAnObjectIsRejected() {
        for (String text : List.of("[1]", "7 ", "{]", "\1")) {
            JsonObjectReader other = new JsonObjectReader(MAX_OBJECT_BYTES);
            assertThrows(
                    MalformedMessageException.class,
                    () -> other.read(text.getBytes(StandardCharsets.UTF_8), object -> objects.add(object.toString())),
                    text);
        }
        assertEquals(List.of(), objects);
    }

    @Test
    void anOversizedObjectIsRejected() throws Exception {
        read("{\"a\":\"" + "x".repeat(20));
        MalformedMessageException rejected =
                assertThrows(MalformedMessageException.class, () -> read("x".repeat(MAX_OBJECT_BYTES)));
        assertEquals("JSON: an object exceeds 32 bytes", rejected.getMessage());
    }

    @Test
    void exceptionsOfTheConsumerArePropagated() {
        assertThrows(
                StaleEndpointListException.class,
                () -> reader.read("{}".getBytes(StandardCharsets.UTF_8), object -> {
                    throw new StaleEndpointListException(1, 2);
                }));
    }
}
