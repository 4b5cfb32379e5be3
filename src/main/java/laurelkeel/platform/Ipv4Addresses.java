package laurelkeel.platform;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import laurelkeel.text.DecimalNumbers;
import org.jspecify.annotations.Nullable;

/** Parses the platform's socket addresses, such as 10.0.0.4:5000; thread-safe. */
final class Ipv4Addresses {
    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    private Ipv4Addresses() {}

    /**
     * Returns the address; null if the text is not one. Host names are never resolved, since the platform has no DNS.
     */
    static @Nullable InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            return null;
        }
        String[] octets = text.substring(0, colon).split("\\.", -1);
        if (octets.length != OCTETS) {
            return null;
        }
        try {
            byte[] address = new byte[OCTETS];
            for (int i = 0; i < OCTETS; i++) {
                address[i] = (byte) parseUpTo(MAX_OCTET, octets[i]);
            }
            int port = parseUpTo(MAX_PORT, text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }

    private static int parseUpTo(int max, String text) {
        int value = DecimalNumbers.parseInt(text);
        if (value < 0 || value > max) {
            throw new NumberFormatException(text + " is not between 0 and " + max);
        }
        return value;
    }
}
