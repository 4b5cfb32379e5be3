package laurelkeel.simulatoradapter;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Settings;
import laurelkeel.options.InvalidOptionException;
import laurelkeel.options.OptionsParser;

/** Hosts one decider a front and speaks the wire cedar-a60e for them. It decides nothing. */
public final class SimulatorAdapter {
    private static final Map<String, AttemptOutcome> OUTCOMES = Map.of(
            "OK",
            AttemptOutcome.COMPLETED,
            "INTERNAL",
            AttemptOutcome.FAILED,
            "RESOURCE_EXHAUSTED",
            AttemptOutcome.OVERLOADED,
            "DEADLINE_EXCEEDED",
            AttemptOutcome.TIMED_OUT,
            "UNAVAILABLE",
            AttemptOutcome.CONNECT_FAILED,
            "ABORTED",
            AttemptOutcome.CONNECTION_LOST,
            "CANCELLED",
            AttemptOutcome.CANCELLED,
            "TOO_LATE",
            AttemptOutcome.NOT_SENT);
    private static final Map<String, ControlStatus> ANSWERS = Map.of(
            "OK",
            ControlStatus.OK,
            "TOO_LATE",
            ControlStatus.STALE,
            "RESOURCE_EXHAUSTED",
            ControlStatus.RATE_LIMITED,
            "INTERNAL",
            ControlStatus.FAILED,
            "DEADLINE_EXCEEDED",
            ControlStatus.TIMED_OUT);
    private static final Map<String, EndpointListKind> LISTS = Map.of(
            "D",
            EndpointListKind.DELTA,
            "F",
            EndpointListKind.SNAPSHOT,
            "C",
            EndpointListKind.CACHED,
            "X",
            EndpointListKind.FAILED);
    private static final Map<String, EndpointState> STATES =
            Map.of("live", EndpointState.ACTIVE, "quiescing", EndpointState.DRAINING, "dead", EndpointState.REMOVED);

    private final Decider.Factory maker;
    private final Map<Integer, Decider> fronts = new HashMap<>();
    private final Map<Integer, List<EndpointEntry>> lists = new HashMap<>();
    private BufferedReader in;
    private long line;

    public SimulatorAdapter(Decider.Factory maker) {
        this.maker = maker;
    }

    /** Answers batches until the input ends. */
    public void run(InputStream from, OutputStream to) throws IOException {
        in = new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8), 1 << 16);
        Writer out = new BufferedWriter(new OutputStreamWriter(to, StandardCharsets.UTF_8), 1 << 16);
        for (MessageFields f = next(); f != null; f = next()) {
            if (!f.name().equals("round")) {
                throw f.bad("round", "a batch begins with it");
            }
            f.expect(2);
            long now = f.time("clock");
            answer(now, f.whole("number"), out);
            out.flush();
        }
    }

    private MessageFields next() throws IOException {
        String text = in.readLine();
        while (text != null && text.isEmpty()) {
            line++;
            text = in.readLine();
        }
        line++;
        return text == null ? null : new MessageFields(line, text);
    }

    private MessageFields inside() throws IOException {
        MessageFields f = next();
        if (f == null) {
            throw new MalformedSimulatorMessageException(line, "commit", "the input ends within a batch");
        }
        return f;
    }

    private void answer(long now, long number, Writer out) throws IOException {
        Map<Integer, List<Event>> news = new LinkedHashMap<>();
        Map<Integer, String> broken = new HashMap<>();
        for (MessageFields f = inside(); !f.name().equals("commit"); f = inside()) {
            switch (f.name()) {
                case "pool" -> pool(f);
                case "create" -> {
                    int front = f.small("front");
                    long seed = f.whole("rngSeed");
                    Settings settings = settings(f);
                    news.put(front, new ArrayList<>());
                    try {
                        fronts.put(front, maker.create(settings, seed));
                    } catch (RuntimeException e) {
                        broken.put(front, told(front, e));
                    }
                }
                case "detach" -> {
                    f.expect(1);
                    int front = f.small("front");
                    fronts.remove(front);
                    news.remove(front);
                }
                default -> {
                    int front = f.small("front");
                    Event e = event(f);
                    if (!fronts.containsKey(front) && !broken.containsKey(front)) {
                        throw f.bad("front", "front " + front + " was not created");
                    }
                    news.computeIfAbsent(front, k -> new ArrayList<>()).add(e);
                }
            }
        }
        for (Map.Entry<Integer, List<Event>> e : news.entrySet()) {
            int front = e.getKey();
            if (!broken.containsKey(front)) {
                try {
                    for (Action a : fronts.get(front).decide(now, e.getValue())) {
                        write(out, front, a);
                    }
                } catch (RuntimeException failure) {
                    broken.put(front, told(front, failure));
                }
            }
            if (broken.containsKey(front)) {
                out.write("fault " + front + " " + broken.get(front) + "\n");
            }
        }
        out.write("ack " + number + "\n");
    }

    private static Settings settings(MessageFields f) {
        try {
            return OptionsParser.settings(f.pairs("options"));
        } catch (InvalidOptionException e) {
            throw f.bad(e.path(), e.reason());
        }
    }

    private static String told(int front, RuntimeException e) {
        System.err.println("front " + front + ":");
        e.printStackTrace();
        return e.toString().replaceAll("\\s+", " ");
    }

    private void pool(MessageFields f) throws IOException {
        f.expect(2);
        int slot = f.small("slot");
        int count = f.small("lines");
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            MessageFields e = inside();
            if (!e.name().equals("item")) {
                throw e.bad("item", "the list is short");
            }
            e.expect(8);
            int build = (int) e.number("build", 0);
            int cell = e.small("pod", 0);
            int kind = e.small("kind", 0);
            int zone = e.small("campus", 0);
            double size = e.number("nominal", 1);
            EndpointState state = e.oneOf("status", STATES);
            long started = e.time("since");
            entries.add(new EndpointEntry(e.text("machine"), build, zone, cell, kind, size, state, started));
        }
        lists.put(slot, entries);
    }

    private Event event(MessageFields f) {
        switch (f.name()) {
            case "membership" -> {
                f.expect(4);
                EndpointListKind kind = f.oneOf("how", LISTS);
                int slot = f.small("slot", -1);
                if (kind == EndpointListKind.FAILED) {
                    return new Event.EndpointListUpdate(kind, List.of());
                }
                if (!lists.containsKey(slot)) {
                    throw f.bad("slot", "list " + slot + " was not given");
                }
                return new Event.EndpointListUpdate(kind, lists.get(slot));
            }
            case "incoming" -> {
                f.expect(9);
                String id = f.text("opId");
                int route = f.small("qos");
                int customer = f.small("clientGroup", 0);
                String key = f.optionalText("partitionKey");
                return new Event.RequestReceived(
                        id, route, customer, key, f.time("notAfter"), f.number("expected", 0), f.flag("resent"));
            }
            case "under_way" -> {
                f.expect(5);
                String id = f.text("opId");
                f.time("lag");
                return new Event.ResponseStarted(id, f.small("sendNo"));
            }
            case "returned" -> {
                f.expect(8);
                return new Event.AttemptEnded(
                        f.text("opId"),
                        f.small("sendNo"),
                        f.text("machine"),
                        f.oneOf("status", OUTCOMES),
                        f.time("lag"),
                        f.flag("ended"),
                        f.load("gauge"));
            }
            case "withdrawn" -> {
                f.expect(2);
                return new Event.ClientDisconnected(f.text("opId"));
            }
            case "ring" -> {
                f.expect(2);
                return new Event.TimerFired(f.whole("handle"));
            }
            case "pong" -> {
                f.expect(5);
                return new Event.HealthCheckEnded(
                        f.text("machine"), f.oneOf("status", OUTCOMES), f.time("lag"), f.load("gauge"));
            }
            case "note_from" -> {
                f.expect(3);
                return new Event.GossipReceived(f.small("from"), f.bytes("bytes"));
            }
            case "release_state" -> {
                f.expect(8);
                ControlStatus answer = f.oneOf("status", ANSWERS);
                int stage = f.small("tranche", 0);
                double cap = f.number("ceiling", 0);
                long age = f.time("since");
                int phase = f.small("whereAt", 0);
                if (phase < 0 || phase >= RolloutPhase.values().length) {
                    throw f.bad("whereAt", phase + " is unknown");
                }
                int build = f.small("build", 0);
                return new Event.RolloutUpdate(
                        answer, stage, cap, age, RolloutPhase.values()[phase], build, f.flag("sense"));
            }
            case "counts_by_build" -> {
                f.expect(7);
                return new Event.BuildStatistics(
                        f.small("build"),
                        f.small("qos"),
                        f.whole("count"),
                        f.whole("errors"),
                        f.time("lag"),
                        f.time("since"));
            }
            case "contested" -> {
                f.expect(4);
                return new Event.ComplaintReceived(f.text("machine"), f.time("since"), f.small("qos", 0));
            }
            default -> throw f.bad(f.name(), "is no message of the wire");
        }
    }

    private static void write(Writer out, int front, Action a) throws IOException {
        String head;
        if (a instanceof Action.SendAttempt s) {
            head = "hand_off " + front + " " + s.requestId() + " " + s.endpointId() + " " + ms(s.timeoutTicks());
        } else if (a instanceof Action.CancelAttempt s) {
            head = "stop_attempt " + front + " " + s.requestId() + " " + s.attempt();
        } else if (a instanceof Action.RejectRequest s) {
            head = "deny " + front + " " + s.requestId() + " " + ms(s.retryAfterTicks());
        } else if (a instanceof Action.FailRequest s) {
            head = "lose " + front + " " + s.requestId();
        } else if (a instanceof Action.StartTimer s) {
            head = "after " + front + " " + ms(s.dueAtTicks()) + " " + s.timerId();
        } else if (a instanceof Action.SendHealthCheck s) {
            head = "ask_load " + front + " " + s.endpointId();
        } else if (a instanceof Action.CloseIdleConnections s) {
            head = "disconnect " + front + " " + s.endpointId();
        } else if (a instanceof Action.SendGossip s) {
            String to = s.toNode() < 0 ? "all" : Integer.toString(s.toNode());
            String hex = s.payload().length == 0 ? "-" : HexFormat.of().formatHex(s.payload());
            head = "notify " + front + " " + to + " " + hex;
        } else if (a instanceof Action.WatchEndpoints s) {
            head = "watch " + front + " " + (s.enabled() ? 1 : 0);
        } else if (a instanceof Action.FetchEndpoints) {
            head = "query_all " + front;
        } else if (a instanceof Action.CastVote s) {
            head = "say_so " + front + " " + s.build() + " " + s.stage() + " "
                    + s.verdict().ordinal();
        } else if (a instanceof Action.WriteLog s) {
            head = "print " + front + " " + s.message();
        } else {
            throw new IllegalStateException("an action the wire lacks: " + a);
        }
        out.write(head);
        out.write('\n');
    }

    private static String ms(long tenths) {
        long whole = tenths / 10;
        long rest = Math.abs(tenths % 10);
        return (tenths < 0 && whole == 0 ? "-0" : Long.toString(whole)) + "." + rest;
    }
}
