package reviewpeers;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP server on a loopback address, with a thread for each connection. */
abstract class Peer {
    final ServerSocket listener;
    final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Peer() throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    Peer start() {
        thread("accept", () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                thread("serve", () -> {
                    try (socket) {
                        serve(socket, socket.getInputStream());
                    } finally {
                        connections.remove(socket);
                    }
                });
            }
        });
        return this;
    }

    abstract void serve(Socket socket, InputStream in) throws Exception;

    static void write(Socket socket, String text) throws IOException {
        synchronized (socket) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }
    }

    /** A task that may fail; the end of a connection is no failure of a stand-in. */
    interface Task {
        void run() throws Exception;
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException | InterruptedException ended) {
                // the connection or the case has ended
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
