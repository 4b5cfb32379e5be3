package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class Ipv4AddressesTest {
    @Test
    void fourOctetsAndAPortAreAnAddress() throws Exception {
        assertEquals(
                new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) 255}), 65_535),
                Ipv4Addresses.parse("10.0.0.255:65535"));
    }

    @Test
    void anyOtherTextIsRejected() {
        for (String text : List.of(
                "",
                "10.0.0.4",
                ":5000",
                "10.0.0:5000",
                "10.0.0.4.5:5000",
                "10.0.0.256:5000",
                "10.0.0.-1:5000",
                "10.0.0.+4:5000",
                "10.0.0.4:",
                "10.0.0.4:-1",
                "10.0.0.4:65536",
                "localhost:5000",
                "[::1]:5000")) {
            assertNull(Ipv4Addresses.parse(text), text);
        }
    }
}
