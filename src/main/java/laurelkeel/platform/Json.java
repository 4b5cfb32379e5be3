package laurelkeel.platform;

import com.fasterxml.jackson.databind.ObjectMapper;

/** Holds the one JSON mapper of the platform's documents; thread-safe. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}
}
