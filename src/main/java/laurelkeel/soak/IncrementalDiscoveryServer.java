package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A discovery server that sends the full endpoint list on request, and only changes on a watch; thread-safe. */
final class IncrementalDiscoveryServer extends TcpServer {
    private static final int FIRST_VERSION = 1;
    private static final int UNKNOWN_VERSION = -1;
    private static final String WATCH_PARAMETER = "watch=1";
    private static final String VERSION_PARAMETER = "after=";

    private final Map<String, DiscoveryEntry> listed = new LinkedHashMap<>();
    private final TreeMap<Integer, List<DiscoveryEntry>> changesByVersion = new TreeMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version = FIRST_VERSION;
    private long bytesSent;
    private int fullListsSent;

    IncrementalDiscoveryServer(Collection<DiscoveryEntry> entries) throws IOException {
        entries.forEach(entry -> listed.put(entry.id(), entry));
    }

    /** Returns the number of bytes of endpoint lists and changes sent since the start. */
    synchronized long bytesSent() {
        return bytesSent;
    }

    synchronized int fullListsSent() {
        return fullListsSent;
    }

    /** Returns the full endpoint list in the JSON format of the discovery protocol. */
    synchronized String fullList() {
        return new DiscoveryMessage(version, true, listed.values()).json();
    }

    synchronized List<DiscoveryEntry> entries() {
        return new ArrayList<>(listed.values());
    }

    /** Applies changes to the endpoint list and sends them on all watches. */
    synchronized void publish(List<DiscoveryEntry> changed) {
        version++;
        changesByVersion.put(version, changed);
        for (DiscoveryEntry entry : changed) {
            if (entry.state() == DiscoveryEntry.State.LEFT) {
                listed.remove(entry.id());
            } else {
                listed.put(entry.id(), entry);
            }
        }
        sendToAll(new DiscoveryMessage(version, false, changed).json() + "\n");
    }

    synchronized void sendHeartbeat() {
        sendToAll("\n");
    }

    private void sendToAll(String text) {
        watches.removeIf(watch -> !trySend(watch, text));
    }

    private boolean trySend(Socket watch, String text) {
        try {
            HttpText.writeChunk(watch, text);
            bytesSent += text.length();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException {
        String requestLine = HttpText.readLine(in);
        HttpText.readHeaders(in);
        if (requestLine == null) {
            return;
        }
        if (requestLine.contains(WATCH_PARAMETER)) {
            HttpText.write(socket, HttpText.CHUNKED_HEAD);
            addWatch(socket, knownVersion(requestLine));
            in.read();
        } else {
            sendFullList(socket);
        }
    }

    private synchronized void sendFullList(Socket socket) throws IOException {
        String list = fullList();
        HttpText.write(
                socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        fullListsSent++;
        bytesSent += list.length();
    }

    private synchronized void addWatch(Socket socket, int knownVersion) {
        if (knownVersion < FIRST_VERSION || knownVersion > version) {
            fullListsSent++;
            trySend(socket, fullList() + "\n");
        } else if (knownVersion < version) {
            List<DiscoveryEntry> missed = new ArrayList<>();
            changesByVersion.tailMap(knownVersion, false).values().forEach(missed::addAll);
            trySend(socket, new DiscoveryMessage(version, false, missed).json() + "\n");
        }
        watches.add(socket);
    }

    /** Returns the version that a watch request asks for changes after. */
    private static int knownVersion(String requestLine) {
        int parameter = requestLine.indexOf(VERSION_PARAMETER);
        if (parameter < 0) {
            return UNKNOWN_VERSION;
        }
        String rest = requestLine.substring(parameter + VERSION_PARAMETER.length());
        int digits = 0;
        while (digits < rest.length() && Character.isDigit(rest.charAt(digits))) {
            digits++;
        }
        return digits == 0 ? UNKNOWN_VERSION : Integer.parseInt(rest.substring(0, digits));
    }
}
