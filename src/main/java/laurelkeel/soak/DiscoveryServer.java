package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Discovery at one address: serves watches of a list that several servers may share, and can fall silent; thread-safe. */
final class DiscoveryServer extends TcpServer {
    private final SharedEndpointList list;
    private volatile boolean silent;

    DiscoveryServer(SharedEndpointList list) throws IOException {
        this.list = list;
    }

    /** Creates a server at the address of one that has stopped listening. */
    DiscoveryServer(SharedEndpointList list, InetSocketAddress address) throws IOException {
        super(address);
        this.list = list;
    }

    /** Closes all watches; while the server is silent, new ones get no answer. */
    void setSilent(boolean silent) throws IOException {
        this.silent = silent;
        closeConnections();
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException {
        // the head of the watch's request
        HttpText.readHeaders(in);
        if (!silent) {
            HttpText.write(socket, HttpText.CHUNKED_HEAD);
            list.addWatch(socket);
        }
        in.read();
    }
}
