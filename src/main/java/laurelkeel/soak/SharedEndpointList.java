package laurelkeel.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The endpoint list that all discovery servers of a run share, and their open watches; thread-safe. */
final class SharedEndpointList {
    private final List<Socket> watches = new CopyOnWriteArrayList<>();
    private DiscoveryMessage current = new DiscoveryMessage(1, true, List.of());

    /** Replaces the endpoint list and sends it on all watches. */
    synchronized void publish(List<DiscoveryEntry> entries) {
        current = new DiscoveryMessage(current.version() + 1, true, List.copyOf(entries));
        for (Socket watch : watches) {
            sendList(watch);
        }
    }

    /** Sends the endpoint list on a new watch, and each later list as well. */
    synchronized void addWatch(Socket watch) {
        watches.add(watch);
        sendList(watch);
    }

    /** Returns the full endpoint list in the JSON format of the discovery protocol. */
    synchronized String json() {
        return current.json();
    }

    void sendHeartbeat() {
        watches.forEach(watch -> send(watch, "\n"));
    }

    /** Sends a malformed message on all watches. */
    void sendMalformed() {
        watches.forEach(watch -> send(watch, "{\"version\":\u0001\n"));
    }

    private synchronized void sendList(Socket watch) {
        send(watch, json() + "\n");
    }

    private void send(Socket watch, String text) {
        try {
            synchronized (watch) {
                HttpText.writeChunk(watch, text);
            }
        } catch (IOException e) {
            watches.remove(watch);
        }
    }
}
