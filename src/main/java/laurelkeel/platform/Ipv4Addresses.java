package laurelkeel.platform;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as the platform writes them: four numbers and a port. There is no DNS, so no name is ever looked up. */
final class Ipv4Addresses {
    private Ipv4Addresses() {}

    /** null where it is no such address. */
    static InetSocketAddress of(String s) {
        int colon = s.lastIndexOf(':');
        String[] parts = colon < 0 ? new String[0] : s.substring(0, colon).split("\\.", -1);
        try {
            byte[] ip = new byte[4];
            for (int i = 0; i < 4; i++) {
                int n = Integer.parseInt(parts[i]);
                if (n < 0 || n > 255) {
                    return null;
                }
                ip[i] = (byte) n;
            }
            int port = Integer.parseInt(s.substring(colon + 1));
            return parts.length != 4 || port < 0 || port > 65535
                    ? null
                    : new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException | UnknownHostException e) {
            return null;
        }
    }
}
