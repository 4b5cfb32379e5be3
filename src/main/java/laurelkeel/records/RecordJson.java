package laurelkeel.records;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;

/** Converts records to and from their stored lines; thread-safe. */
final class RecordJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RecordJson() {}

    /** Returns a record's line in UTF-8, including the line feed. */
    static byte[] encodeLine(TrafficRecord trafficRecord) throws JsonProcessingException {
        return (MAPPER.writeValueAsString(trafficRecord) + '\n').getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Parses a line.
     *
     * @throws JsonProcessingException if the line is not a record
     */
    static TrafficRecord decodeLine(String line) throws JsonProcessingException {
        return MAPPER.readValue(line, TrafficRecord.class);
    }
}
