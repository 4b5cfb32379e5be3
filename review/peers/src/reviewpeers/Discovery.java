package reviewpeers;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Discovery's agent: whole lists and watches. A watch after the present version gets the changes from then on, any other one
 * gets the whole list first, as the page allows.
 */
final class Discovery extends Peer {
    /** One entry of the list. */
    record Entry(String id, String addr, String zone, String kind, int cell, String state, double weight, long startedMs, int build) {
        Entry with(String newState) {
            return new Entry(id, addr, zone, kind, cell, newState, weight, startedMs, build);
        }
    }

    private final List<Socket> watches = new ArrayList<>();
    private final boolean indented;
    private volatile int answerDelayMillis;
    private int version;
    private List<Entry> entries;

    Discovery(int version, List<Entry> entries, boolean indented) throws IOException {
        this.version = version;
        this.entries = List.copyOf(entries);
        this.indented = indented;
        thread("heartbeat", () -> {
            while (true) {
                Thread.sleep(2_000);
                send("\n");
            }
        });
    }

    /** Sets how long the agent takes to answer a call. */
    void setAnswerDelay(int millis) {
        answerDelayMillis = millis;
    }

    /** As an old address after SIGHUP: accepts no new connection and closes the open ones after 1.5 s. */
    void retire() throws IOException {
        listener.close();
        thread("retire", () -> {
            Thread.sleep(1_500);
            for (Socket connection : connections) {
                connection.close();
            }
        });
    }

    synchronized String list() {
        return json(version, true, entries, indented);
    }

    /** Applies changes and tells them on all open watches. */
    synchronized void change(List<Entry> changed) {
        List<Entry> next = new ArrayList<>(entries);
        for (Entry entry : changed) {
            next.removeIf(known -> known.id().equals(entry.id()));
            next.add(entry);
        }
        entries = next.stream().filter(entry -> !entry.state().equals("left")).toList();
        version++;
        send(json(version, false, changed, indented) + "\n");
    }

    private synchronized void send(String text) {
        for (Socket watch : List.copyOf(watches)) {
            try {
                write(watch, chunk(text));
            } catch (IOException ended) {
                watches.remove(watch);
            }
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    @Override
    void serve(Socket socket, InputStream in) throws Exception {
        for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
            if (answerDelayMillis > 0) {
                Thread.sleep(answerDelayMillis);
            }
            String target = call.start().split(" ")[1];
            if (!target.contains("watch=1")) {
                String list = list();
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                continue;
            }
            int after = target.contains("after=") ? Integer.parseInt(target.replaceAll(".*after=(-?\\d+).*", "$1")) : -1;
            synchronized (this) {
                write(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
                String first = after == version ? "\n" : list() + "\n";
                for (int from = 0; from < first.length(); from += 16 << 10) {
                    write(socket, chunk(first.substring(from, Math.min(first.length(), from + (16 << 10)))));
                }
                watches.add(socket);
            }
        }
    }

    /** Returns a list as JSON: in one line, or indented by four spaces a level. */
    static String json(int version, boolean full, List<Entry> entries, boolean indented) {
        StringBuilder text = new StringBuilder();
        String line = indented ? "\n" : "";
        String colon = indented ? ": " : ":";
        String one = indented ? "    " : "";
        text.append("{").append(line).append(one).append("\"version\"").append(colon).append(version).append(",");
        text.append(line).append(one).append("\"full\"").append(colon).append(full).append(",");
        text.append(line).append(one).append("\"servers\"").append(colon).append("[");
        for (int i = 0; i < entries.size(); i++) {
            Entry e = entries.get(i);
            text.append(i == 0 ? "" : ",").append(line).append(one).append(one).append("{");
            String[][] fields = {
                {"id", quote(e.id)}, {"addr", quote(e.addr)}, {"zone", quote(e.zone)}, {"kind", quote(e.kind)},
                {"cell", "" + e.cell}, {"state", quote(e.state)}, {"weight", "" + e.weight},
                {"started_ms", "" + e.startedMs}, {"revision_no", "" + e.build}
            };
            for (int f = 0; f < fields.length; f++) {
                text.append(f == 0 ? "" : ",").append(line).append(one).append(one).append(one);
                text.append(quote(fields[f][0])).append(colon).append(fields[f][1]);
            }
            text.append(line).append(one).append(one).append("}");
        }
        return text.append(line).append(one).append("]").append(line).append("}").toString();
    }

    private static String quote(String text) {
        return '"' + text + '"';
    }
}
