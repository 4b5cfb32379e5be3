package laurelkeel.platform;

import com.fasterxml.jackson.databind.ObjectMapper;

/** Provides the JSON mapper that the package shares; thread-safe. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}
}
