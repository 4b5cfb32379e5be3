package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private static final RouteTable TABLE = new RouteTable(
            List.of(
                    new RouteTable.Entry("all", "GET", "/a", false),
                    new RouteTable.Entry("read", "GET", "/a/b", false),
                    new RouteTable.Entry("write", "POST", "/a/b", true),
                    new RouteTable.Entry("folder", "GET", "/c/", false)),
            List.of("first", "second"));

    @Test
    void longestPrefixWithTheMethodWins() {
        assertEquals(0, TABLE.route("GET", "/a"));
        assertEquals(1, TABLE.route("GET", "/a/b/x"));
        assertEquals(2, TABLE.route("POST", "/a/b"));
    }

    @Test
    void prefixMatchesOnlyWholePathSegments() {
        assertEquals(0, TABLE.route("GET", "/a/bc"));
        assertEquals(RouteTable.UNKNOWN_PATH, TABLE.route("GET", "/ab"));
        assertEquals(3, TABLE.route("GET", "/c/x"));
        assertEquals(RouteTable.UNKNOWN_PATH, TABLE.route("GET", "/c"));
    }

    @Test
    void knownPathWithAnotherMethodIsNotAllowed() {
        assertEquals(RouteTable.METHOD_NOT_ALLOWED, TABLE.route("POST", "/a"));
        assertEquals("GET, POST", TABLE.allowedMethods("/a/b"));
    }

    @Test
    void tenantIndexIsItsPositionInTheList() {
        assertEquals(1, TABLE.tenant("second"));
        assertEquals(RouteTable.UNKNOWN_TENANT, TABLE.tenant("third"));
        assertEquals(RouteTable.UNKNOWN_TENANT, TABLE.tenant(null));
        assertEquals(0, new RouteTable(List.of(), List.of()).tenant("any"));
    }
}
