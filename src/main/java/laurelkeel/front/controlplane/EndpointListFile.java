package laurelkeel.front.controlplane;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Reads and writes an endpoint list as a file with a JSON array of endpoints. */
public final class EndpointListFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private EndpointListFile() {}

    /**
     * Reads a list.
     *
     * @throws IOException if the file cannot be read or is not JSON of this form
     * @throws InvalidMessageException if the file contains null instead of a list, or an endpoint is null or lacks a
     *     required field
     */
    public static List<EndpointDescription> read(Path file) throws IOException, InvalidMessageException {
        List<@Nullable EndpointJson> endpoints = JSON.readValue(file.toFile(), new TypeReference<>() {});
        if (endpoints == null) {
            throw new InvalidMessageException("it contains no list");
        }
        return EndpointJson.parse(endpoints);
    }

    /**
     * Replaces the contents of a file with a list. The write is not atomic.
     *
     * @throws IOException if the file cannot be written; it may then contain a part of the list
     */
    public static void write(Path file, Collection<EndpointDescription> endpoints) throws IOException {
        JSON.writeValue(file.toFile(), endpoints.stream().map(EndpointJson::of).toList());
    }
}
