package laurelkeel.platform;

import static laurelkeel.platform.PlatformTestBed.listJson;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class DiscoveryMessageReaderTest {
    private static final int LARGEST_FLEET = 3_200;
    private static final int READ_BYTES = 16 << 10;

    private final DiscoveryMessageReader reader = new DiscoveryMessageReader();
    private final List<DiscoveryMessage> messages = new ArrayList<>();

    private boolean read(DiscoveryMessageReader target, String text) throws UnusableMessageException {
        boolean received = false;
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int start = 0; start < bytes.length; start += READ_BYTES) {
            byte[] part = Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + READ_BYTES));
            received |= target.read(part, messages::add);
        }
        return received;
    }

    private boolean read(String text) throws UnusableMessageException {
        return read(reader, text);
    }

    private static String entry(int number, String furtherFields) {
        return "{\"id\":\"s-" + number + "\",\"addr\":\"10.0.0.1:5000\",\"state\":\"leaving\"" + furtherFields + "}";
    }

    private static String list(int version, int endpoints, String furtherFields) {
        String[] entries = new String[endpoints];
        Arrays.setAll(entries, number -> entry(number, furtherFields));
        return listJson(version, true, entries);
    }

    @Test
    void messagesAreAssembledFromBytesInAnyPieces() throws Exception {
        String text = "{\"a\":[1,{\"version\":2,\"servers\":[{}]}],\"version\":7,\"servers\":["
                + entry(1, ",\"x\":{\"id\":[]}") + "]}\r\n\r\n{ \"servers\":\n[] ,\"full\":true,\"version\": 8 }";
        for (String character : PlatformTestBed.characters(text)) {
            read(character);
        }
        assertTrue(read(listJson(9, false) + listJson(10, false)));
        assertEquals(
                List.of(
                        new DiscoveredListHeader(7, false),
                        new DiscoveredListHeader(8, true),
                        new DiscoveredListHeader(9, false),
                        new DiscoveredListHeader(10, false)),
                messages.stream().map(DiscoveryMessage::header).toList());
        assertEquals("s-1", messages.get(0).list().endpoints().get(0).id());
    }

    @Test
    void onlyACompleteMessageOrABlankLineCountsAsReceived() throws Exception {
        assertFalse(read("{\"version\":"));
        assertFalse(read("\n"));
        assertTrue(read("1,\"servers\":[]}"));
        assertTrue(read(" \r\n"));
        assertFalse(read(" "));
    }

    @Test
    void anythingButAListIsRejected() {
        for (String text : List.of("[1]", "7 ", "{]", "\1", "{}", "{\"version\":1,\"servers\":{}}")) {
            assertThrows(MalformedMessageException.class, () -> read(new DiscoveryMessageReader(), text), text);
        }
        assertEquals(List.of(), messages);
    }

    /** Guards against a whole list being refused for its layout, or for what its entries say beyond what is used. */
    @Test
    void theListOfTheLargestFleetIsReadInAnyLayout() throws Exception {
        String furtherFields = ",\"note\":\"" + "x".repeat(500) + "\",\"weight\":0.12345678901234567";
        String line = list(1, LARGEST_FLEET, furtherFields);
        for (String separator : List.of("", "\n\t\t", "\r\n" + " ".repeat(64))) {
            assertTrue(read(line.replace(",", "," + separator).replace("{", "{" + separator) + "\n"));
            assertEquals(LARGEST_FLEET, messages.get(0).list().endpoints().size());
            messages.clear();
        }
    }

    @Test
    void aListBeyondTheLimitsIsRejected() throws Exception {
        String longText = "x".repeat(DiscoveryMessageAssembler.MAX_ENTRY_CHARS + 1);
        List<String> lists = List.of(
                list(1, DiscoveryMessageAssembler.MAX_ENDPOINTS + 1, ""),
                list(1, 1, ",\"a\":\"" + longText + "\""),
                list(1, 1, ",\"a\":[" + "7,".repeat(longText.length()) + "7]"),
                list(1, LARGEST_FLEET, ",\"a\":\"" + "x".repeat(3_000) + "\""),
                "{\"a\":\"" + longText.repeat(40),
                "{\"a\":" + "[".repeat(1_000));
        for (String text : lists) {
            assertThrows(MalformedMessageException.class, () -> read(new DiscoveryMessageReader(), text));
        }
        assertEquals(List.of(), messages);
    }

    @Test
    void exceptionsOfTheConsumerArePropagated() {
        assertThrows(
                StaleEndpointListException.class,
                () -> reader.read(listJson(1, false).getBytes(StandardCharsets.UTF_8), message -> {
                    throw new StaleEndpointListException(1, 2);
                }));
    }
}
