package laurelkeel.simulatoradapter;

import java.io.IOException;
import java.io.Writer;
import java.util.HexFormat;
import laurelkeel.api.Action;
import laurelkeel.api.Ticks;

/** Writes actions as lines of the simulator's protocol. */
final class SimulatorActionWriter {
    private static final String ALL_NODES = "all";
    private static final String ABSENT = "-";

    private final Writer out;

    SimulatorActionWriter(Writer out) {
        this.out = out;
    }

    /** Writes one action of a front node. */
    void write(int node, Action action) throws IOException {
        out.write(line(node, action));
        out.write('\n');
    }

    /** Reports that a node's decider has failed; the simulator then ends the simulated day. */
    void writeFault(int node, String reason) throws IOException {
        out.write("fault " + node + " " + reason + "\n");
    }

    /** Ends the reply to a batch. */
    void writeAcknowledgement(long batchNumber) throws IOException {
        out.write("ack " + batchNumber + "\n");
    }

    private static String line(int node, Action action) {
        if (action instanceof Action.SendAttempt send) {
            return "hand_off " + node + " " + send.requestId() + " " + send.endpointId() + " "
                    + millis(send.timeoutTicks());
        }
        if (action instanceof Action.CancelAttempt cancel) {
            return "stop_attempt " + node + " " + cancel.requestId() + " " + cancel.attempt();
        }
        if (action instanceof Action.RejectRequest reject) {
            return "deny " + node + " " + reject.requestId() + " " + millis(reject.retryAfterTicks());
        }
        if (action instanceof Action.FailRequest fail) {
            return "lose " + node + " " + fail.requestId();
        }
        if (action instanceof Action.StartTimer timer) {
            return "after " + node + " " + millis(timer.dueAtTicks()) + " " + timer.timerId();
        }
        if (action instanceof Action.SendHealthCheck check) {
            return "ask_load " + node + " " + check.endpointId();
        }
        if (action instanceof Action.CloseIdleConnections close) {
            return "disconnect " + node + " " + close.endpointId();
        }
        if (action instanceof Action.SendGossip gossip) {
            return "notify " + node + " " + receiver(gossip) + " " + hex(gossip.payload());
        }
        if (action instanceof Action.WatchEndpoints watch) {
            return "watch " + node + " " + (watch.enabled() ? 1 : 0);
        }
        if (action instanceof Action.FetchEndpoints) {
            return "query_all " + node;
        }
        if (action instanceof Action.CastVote vote) {
            return "say_so " + node + " " + vote.build() + " " + vote.stage() + " "
                    + SimulatorTerms.verdictNumber(vote.verdict());
        }
        if (action instanceof Action.WriteLog log) {
            return "print " + node + " " + log.message();
        }
        throw new IllegalStateException("an action that the simulator's protocol lacks: " + action);
    }

    private static String receiver(Action.SendGossip gossip) {
        return gossip.toNode() < 0 ? ALL_NODES : Integer.toString(gossip.toNode());
    }

    private static String hex(byte[] payload) {
        return payload.length == 0 ? ABSENT : HexFormat.of().formatHex(payload);
    }

    private static String millis(long ticks) {
        long whole = ticks / Ticks.PER_MILLISECOND;
        long tenths = Math.abs(ticks % Ticks.PER_MILLISECOND);
        String sign = ticks < 0 && whole == 0 ? "-" : "";
        return sign + whole + "." + tenths;
    }
}
