package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP server on a free port of 127.0.0.1, with a thread for each connection. */
abstract class Server implements AutoCloseable {
    private static final int BACKLOG = 1024;

    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    }

    void start() {
        daemon("accept", () -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon("connection", () -> {
                    try (socket) {
                        serve(socket);
                    } finally {
                        open.remove(socket);
                    }
                });
            }
        });
    }

    /** Serves one connection; it is closed afterwards. */
    abstract void serve(Socket socket) throws Exception;

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** Work of a thread, which may fail when its connection ends. */
    interface Work {
        void run() throws Exception;
    }

    static Thread daemon(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException | InterruptedException e) {
                        // the connection or the run has ended
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
