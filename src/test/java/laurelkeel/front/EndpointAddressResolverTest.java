package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import laurelkeel.front.upstream.EndpointAddress;
import org.junit.jupiter.api.Test;

class EndpointAddressResolverTest {
    private final EndpointAddressResolver resolver = new EndpointAddressResolver();

    @Test
    void anEndpointIsResolvedOnce() {
        EndpointAddress address = resolver.addressOf("127.0.0.1:80");
        assertEquals("127.0.0.1:80", address.key());
        assertEquals(80, address.socketAddress().getPort());
        assertSame(address, resolver.addressOf("127.0.0.1:80"));
    }

    @Test
    void anIdThatIsNotAnAddressHasNoSocketAddress() {
        for (String id : new String[] {"", "nowhere", "127.0.0.1:http", "127.0.0.1:70000"}) {
            assertNull(resolver.addressOf(id).socketAddress(), id);
        }
    }

    @Test
    void moreEndpointsThanTheCacheHoldsAreResolved() {
        for (int i = 0; i < 45_000; i++) {
            String id = "127.0." + i / 200 + "." + (1 + i % 200) + ":80";
            assertEquals(id, resolver.addressOf(id).key());
        }
    }
}
