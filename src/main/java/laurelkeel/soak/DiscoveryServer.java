package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A discovery server at one address; serves watches of an endpoint list shared with other servers; thread-safe. */
final class DiscoveryServer extends TcpServer {
    private final SharedEndpointList list;
    private volatile boolean silent;

    DiscoveryServer(SharedEndpointList list) throws IOException {
        this.list = list;
    }

    /** Creates a server at the address of a server that has stopped listening. */
    DiscoveryServer(SharedEndpointList list, InetSocketAddress address) throws IOException {
        super(address);
        this.list = list;
    }

    /** Closes all watches; while the server is silent, new watches get no response. */
    void setSilent(boolean silent) throws IOException {
        this.silent = silent;
        closeConnections();
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException {
        // skips the request line and the headers of the watch request
        HttpText.readHeaders(in);
        if (!silent) {
            HttpText.write(socket, HttpText.CHUNKED_HEAD);
            list.addWatch(socket);
        }
        in.read();
    }
}
