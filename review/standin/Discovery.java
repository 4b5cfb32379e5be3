package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Discovery: the whole list on request; changes and an empty line every 2 s on a watch. */
final class Discovery extends Server {
    private static final long EMPTY_LINE_MILLIS = 2_000;

    private final Record record;
    private final long delayMillis;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final TreeMap<Integer, List<String>> changes = new TreeMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version;
    private volatile boolean ended;

    /** @param delayMillis how long it takes to answer a request */
    Discovery(Record record, int version, long delayMillis) throws IOException {
        this.record = record;
        this.version = version;
        this.delayMillis = delayMillis;
    }

    @Override
    void start() {
        super.start();
        daemon("empty lines", () -> {
            while (!ended) {
                Thread.sleep(EMPTY_LINE_MILLIS);
                sendToAll("\n");
            }
        });
    }

    /** Adds an entry to the list as it was before the run. */
    synchronized void add(String id, String entry) {
        entries.put(id, entry);
    }

    synchronized String wholeList() {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries.values()) + "]}";
    }

    /** Changes entries, and sends the change on all open watches. */
    synchronized void change(Map<String, String> changed) {
        version++;
        entries.putAll(changed);
        changes.put(version, List.copyOf(changed.values()));
        record.line("discovery has version " + version + " with changes of " + changed.keySet() + ", open watches "
                + watches.size());
        sendToAll(changesJson(List.copyOf(changed.values())) + "\n");
    }

    private String changesJson(List<String> changed) {
        return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + String.join(",", changed) + "]}";
    }

    private synchronized void sendToAll(String text) {
        watches.removeIf(watch -> !sendChunk(watch, text));
    }

    private boolean sendChunk(Socket watch, String text) {
        try {
            Machine.write(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            return true;
        } catch (IOException e) {
            record.line("discovery: a watch was closed by the node");
            return false;
        }
    }

    @Override
    void serve(Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Http.Message request = Http.read(in);
        if (request == null) {
            return;
        }
        record.line("discovery received " + request.startLine());
        Thread.sleep(delayMillis);
        if (request.startLine().contains("watch=1")) {
            openWatch(socket, knownVersion(request.startLine()));
            int next = in.read();
            record.line("discovery: a watch was closed by the node " + (next < 0 ? "" : "(sent a byte)"));
        } else {
            String list = wholeList();
            Machine.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        }
    }

    private synchronized void openWatch(Socket socket, int after) throws IOException {
        Machine.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        boolean sent = true;
        if (after > version || after < 0 || (after < version && changes.headMap(after + 1).size() == 0
                && !changes.containsKey(after + 1))) {
            sent = sendChunk(socket, wholeList() + "\n");
        } else if (after < version) {
            List<String> missed = new ArrayList<>();
            changes.tailMap(after, false).values().forEach(missed::addAll);
            sent = sendChunk(socket, changesJson(missed) + "\n");
        }
        record.line("discovery answered a watch after version " + after + " at version " + version);
        if (sent) {
            watches.add(socket);
        }
    }

    private static int knownVersion(String startLine) {
        int parameter = startLine.indexOf("after=");
        return parameter < 0 ? -1 : Integer.parseInt(startLine.substring(parameter + 6).split("[ &]")[0]);
    }

    @Override
    public void close() throws IOException {
        ended = true;
        super.close();
    }
}
