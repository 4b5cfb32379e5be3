package laurelkeel.front.controlplane;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Reads and writes the file form of an endpoint list, a JSON array of endpoints. */
public final class EndpointListFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private EndpointListFile() {}

    /**
     * Reads a list.
     *
     * @throws IOException where the file cannot be read or is no JSON of this form
     * @throws InvalidMessageException where the file is empty of a list, or an endpoint lacks a field that it must have
     */
    public static List<EndpointDescription> read(Path file) throws IOException, InvalidMessageException {
        List<@Nullable EndpointJson> endpoints = JSON.readValue(file.toFile(), new TypeReference<>() {});
        if (endpoints == null) {
            throw new InvalidMessageException("it is empty");
        }
        return EndpointJson.parse(endpoints);
    }

    /**
     * Writes a list over what the file holds.
     *
     * @throws IOException where the file cannot be written; it may hold a part of the list then
     */
    public static void write(Path file, Collection<EndpointDescription> endpoints) throws IOException {
        JSON.writeValue(file.toFile(), endpoints.stream().map(EndpointJson::of).toList());
    }
}
