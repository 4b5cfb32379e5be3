package reviewpeers;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The platform's release line: the newest build's state on each subscription and as the answer to each vote. */
class Control extends Peer {
    private final List<Socket> subscriptions = new CopyOnWriteArrayList<>();
    private final Record record;
    private String state;
    private long sinceNanos = System.nanoTime();
    private volatile long toldNanos = System.nanoTime();

    /** @param state build, stage, phase and cap, separated by spaces */
    Control(Record record, String state) throws IOException {
        this.record = record;
        this.state = state;
        thread("life", () -> {
            while (true) {
                Thread.sleep(1_000);
                send("*\r\n");
            }
        });
        thread("again", () -> {
            while (true) {
                Thread.sleep(20);
                if (System.nanoTime() - toldNanos > 4_000_000_000L) {
                    tell();
                }
            }
        });
    }

    private synchronized String state() {
        return state + " " + (System.nanoTime() - sinceNanos) / 1_000_000;
    }

    /** Changes the state and tells it on all subscriptions. */
    void change(String next) {
        synchronized (this) {
            state = next;
            sinceNanos = System.nanoTime();
        }
        record.line("release line tells %s", next);
        tell();
    }

    /** Tells the state, which is told again 4 s later. */
    private void tell() {
        toldNanos = System.nanoTime();
        send("* progress " + state() + "\r\n");
    }

    /** Called when a vote has been answered. */
    void voted() {}

    private void send(String text) {
        for (Socket subscription : subscriptions) {
            try {
                write(subscription, text);
            } catch (IOException ended) {
                subscriptions.remove(subscription);
            }
        }
    }

    @Override
    void serve(Socket socket, InputStream in) throws Exception {
        for (String call = Http.line(in); call != null; call = Http.line(in)) {
            if (call.equals("SUB")) {
                write(socket, "OK\r\n* progress " + state() + "\r\n");
                subscriptions.add(socket);
            } else if (call.startsWith("SAY ")) {
                record.line("vote %s", call);
                write(socket, "OK " + state() + "\r\n");
                voted();
            } else {
                write(socket, "ERR bad_request\r\n");
            }
        }
    }
}
