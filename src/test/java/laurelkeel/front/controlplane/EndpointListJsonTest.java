package laurelkeel.front.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import org.junit.jupiter.api.Test;

class EndpointListJsonTest {
    private static final String ENDPOINT = "{\"machine\":\"10.0.0.1:80\",\"build\":4,\"zone\":\"north\",\"cell\":2,"
            + "\"kind\":1,\"size\":1.5,\"state\":\"live\",\"run\":3,\"ageMs\":120.5,\"later\":true}";

    private static EndpointListMessage parse(String line) throws InvalidMessageException {
        EndpointListJson json = EndpointListJson.read(line);
        assertNotNull(json);
        return json.parse();
    }

    private static String error(String line) {
        return assertThrows(InvalidMessageException.class, () -> parse(line)).getMessage();
    }

    @Test
    void deltasAreParsedByTheirDocumentedNames() throws Exception {
        EndpointListMessage list =
                parse("{\"kind\":\"changes\",\"version\":8,\"previous\":7,\"machines\":[" + ENDPOINT + "]}");
        assertEquals(
                new EndpointListMessage(
                        EndpointListKind.DELTA,
                        8,
                        7,
                        List.of(new EndpointDescription(
                                "10.0.0.1:80", 4, "north", 2, 1, 1.5, EndpointState.ACTIVE, 3, 120.5))),
                list);
    }

    @Test
    void heartbeatsAndLinesWithoutAListYieldNoMessage() throws Exception {
        assertNull(parse("{\"kind\":\"beat\"}"));
        assertNull(parse("{\"kind\":\"full\",\"version\":8}"));
        assertNull(EndpointListJson.read("null"));
    }

    @Test
    void errorsNameTheFieldAndTheReason() {
        assertEquals("unknown kind 'null'", error("{\"version\":3,\"machines\":[]}"));
        assertEquals("unknown kind 'some'", error("{\"kind\":\"some\",\"machines\":[]}"));
        assertEquals("an endpoint is null", error("{\"kind\":\"full\",\"machines\":[null]}"));
        assertEquals("an endpoint has no machine", error("{\"kind\":\"full\",\"machines\":[{\"build\":4}]}"));
        assertEquals(
                "an endpoint has no zone",
                error("{\"kind\":\"full\",\"machines\":[" + ENDPOINT.replace("\"north\"", "null") + "]}"));
        assertEquals(
                "an endpoint has no state",
                error("{\"kind\":\"full\",\"machines\":[" + ENDPOINT.replace("\"live\"", "null") + "]}"));
        assertThrows(InvalidMessageException.class, () -> EndpointListJson.read("[]"));
        assertThrows(InvalidMessageException.class, () -> EndpointListJson.read("no json"));
    }

    @Test
    void anEndpointInAnUnknownStateCountsAsDraining() throws Exception {
        EndpointListMessage list =
                parse("{\"kind\":\"full\",\"machines\":[" + ENDPOINT.replace("live", "resting") + "]}");
        assertEquals(EndpointState.DRAINING, list.endpoints().get(0).state());
    }
}
