package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Discovery that tells changes: a whole list where it is asked for, and on a watch what has changed since. */
final class ChangeFeed extends TcpServer {
    /** Where a machine stands; one that has left is told once and listed no more. */
    enum State {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /** One machine of the list, in discovery's form. */
    record Entry(String id, String address, State state, long startedMs, int build) {
        String json() {
            return "{\"id\":\"" + id + "\",\"addr\":\"" + address
                    + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\""
                    + state.name().toLowerCase(Locale.ROOT) + "\",\"weight\":1.0,\"started_ms\":" + startedMs
                    + ",\"revision_no\":" + build + "}";
        }
    }

    private static final int FIRST_VERSION = 1;

    private final Map<String, Entry> listed = new LinkedHashMap<>();
    private final TreeMap<Integer, List<Entry>> changes = new TreeMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version = FIRST_VERSION;
    private long bytes;
    private int wholeLists;

    ChangeFeed(Collection<Entry> entries) throws IOException {
        entries.forEach(entry -> listed.put(entry.id, entry));
    }

    /** Bytes of lists told since the start. */
    synchronized long bytes() {
        return bytes;
    }

    /** Whole lists told since the start. */
    synchronized int wholeLists() {
        return wholeLists;
    }

    synchronized String whole() {
        return message(version, true, listed.values());
    }

    synchronized List<Entry> entries() {
        return new ArrayList<>(listed.values());
    }

    synchronized void publish(List<Entry> changed) {
        version++;
        changes.put(version, changed);
        for (Entry entry : changed) {
            if (entry.state == State.LEFT) {
                listed.remove(entry.id);
            } else {
                listed.put(entry.id, entry);
            }
        }
        tellAll(message(version, false, changed) + "\n");
    }

    /** A sign of life. */
    synchronized void beat() {
        tellAll("\n");
    }

    private void tellAll(String text) {
        watches.removeIf(watch -> !tell(watch, text));
    }

    private static String message(int version, boolean full, Collection<Entry> entries) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[");
        String separator = "";
        for (Entry entry : entries) {
            text.append(separator).append(entry.json());
            separator = ",";
        }
        return text.append("]}").toString();
    }

    private boolean tell(Socket watch, String text) {
        try {
            writeChunk(watch, text);
            bytes += text.length();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException {
        String first = line(in);
        headers(in);
        if (first == null) {
            return;
        }
        if (first.contains("watch=1")) {
            write(socket, CHUNKED);
            watch(socket, first);
            in.read();
        } else {
            answerWhole(socket);
        }
    }

    private synchronized void answerWhole(Socket socket) throws IOException {
        String text = whole();
        write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
        wholeLists++;
        bytes += text.length();
    }

    private synchronized void watch(Socket socket, String request) {
        int after = after(request);
        if (after < FIRST_VERSION || after > version) {
            wholeLists++;
            tell(socket, whole() + "\n");
        } else if (after < version) {
            List<Entry> missed = new ArrayList<>();
            changes.tailMap(after, false).values().forEach(missed::addAll);
            tell(socket, message(version, false, missed) + "\n");
        }
        watches.add(socket);
    }

    /** The version that a watch is asked for from; -1 where it names none. */
    private static int after(String request) {
        int at = request.indexOf("after=");
        String digits = at < 0 ? "" : request.substring(at + 6).split("[^0-9]", 2)[0];
        return digits.isEmpty() ? -1 : Integer.parseInt(digits);
    }
}
