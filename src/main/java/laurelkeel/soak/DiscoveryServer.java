package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Discovery's watch at one address. Several may stand for one list, as when a configuration moves it. */
final class DiscoveryServer extends TcpServer {
    /** What every address of discovery tells. */
    static final class Directory {
        private final List<Socket> watches = new CopyOnWriteArrayList<>();
        private int version = 1;
        private String servers = "";

        /** Replaces the list and tells all watches that speak. */
        synchronized void publish(String entries) {
            version++;
            servers = entries;
            for (Socket watch : watches) {
                tell(watch);
            }
        }

        private synchronized void tell(Socket watch) {
            say(watch, list() + "\n");
        }

        private synchronized void add(Socket watch) {
            watches.add(watch);
            tell(watch);
        }

        synchronized String list() {
            return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + servers + "]}";
        }

        /** A sign of life. */
        void beat() {
            watches.forEach(watch -> say(watch, "\n"));
        }

        /** What no node can read, on all watches. */
        void spoil() {
            watches.forEach(watch -> say(watch, "{\"version\":\u0001\n"));
        }

        private void say(Socket watch, String text) {
            try {
                synchronized (watch) {
                    writeChunk(watch, text);
                }
            } catch (IOException e) {
                watches.remove(watch);
            }
        }
    }

    private final Directory directory;
    private volatile boolean silent;

    DiscoveryServer(Directory directory) throws IOException {
        this.directory = directory;
    }

    /** One that comes back at the address of one that went down. */
    DiscoveryServer(Directory directory, InetSocketAddress at) throws IOException {
        super(at);
        this.directory = directory;
    }

    /** While it is silent, new watches hear nothing and open ones have ended. */
    void silent(boolean now) throws IOException {
        silent = now;
        closeConnections();
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException {
        // the head of the watch's request
        headers(in);
        if (!silent) {
            write(socket, CHUNKED);
            directory.add(socket);
        }
        in.read();
    }
}
