package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class ResponseReferencesTest {
    private final ResponseReferences references = new ResponseReferences(4);

    private static ResponseReferences.Origin origin(int route) {
        return new ResponseReferences.Origin("10.0.0.1:80", 500, route, 2);
    }

    @Test
    void anOriginIsTakenOnce() {
        references.put(7, origin(1));
        assertEquals(origin(1), references.take(7));
        assertNull(references.take(7));
    }

    @Test
    void aLaterResponseOverwritesAnOlderOne() {
        references.put(1, origin(1));
        references.put(5, origin(2));
        assertNull(references.take(1));
        assertEquals(origin(2), references.take(5));
    }

    @Test
    void aResponseThatWasNeverStoredIsUnknown() {
        assertNull(references.take(0));
        assertNull(references.take(-1));
        assertNull(references.take(3));
    }
}
