package laurelkeel.simulatoradapter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;

/**
 * Reads events from lines of the simulator's protocol, starting after the node's number. Stores the endpoint lists by
 * their slot numbers.
 */
final class SimulatorEventReader {
    private static final int NO_SLOT = -1;

    private final Map<Integer, List<EndpointEntry>> endpointLists = new HashMap<>();

    /** Stores an endpoint list under its slot number and replaces an earlier one. */
    void storeEndpointList(int slot, List<EndpointEntry> entries) {
        endpointLists.put(slot, entries);
    }

    /** Reads one entry of an endpoint list. */
    static EndpointEntry readEntry(MessageFields fields) {
        fields.expectValues(8);
        int build = (int) fields.optionalNumber("build", 0);
        int cell = fields.optionalInteger("pod", 0);
        int kind = fields.optionalInteger("kind", 0);
        int zone = fields.optionalInteger("campus", 0);
        double weight = fields.optionalNumber("nominal", 1);
        EndpointState state = fields.oneOf("status", SimulatorTerms.ENDPOINT_STATES);
        long startedAtTicks = fields.ticks("since");
        return new EndpointEntry(fields.text("machine"), build, zone, cell, kind, weight, state, startedAtTicks);
    }

    /**
     * Reads an event.
     *
     * @throws MalformedSimulatorMessageException if the line is not an event or a field cannot be read
     */
    Event read(MessageFields fields) {
        return switch (fields.name()) {
            case "membership" -> membership(fields);
            case "incoming" -> incoming(fields);
            case "under_way" -> underWay(fields);
            case "returned" -> returned(fields);
            case "withdrawn" -> withdrawn(fields);
            case "ring" -> ring(fields);
            case "pong" -> pong(fields);
            case "note_from" -> noteFrom(fields);
            case "release_state" -> releaseState(fields);
            case "counts_by_build" -> countsByBuild(fields);
            case "contested" -> contested(fields);
            default -> throw fields.malformed(fields.name(), "is not a message of the protocol");
        };
    }

    private Event membership(MessageFields fields) {
        fields.expectValues(4);
        EndpointListKind kind = fields.oneOf("how", SimulatorTerms.LIST_KINDS);
        int slot = fields.optionalInteger("slot", NO_SLOT);
        if (kind == EndpointListKind.FAILED) {
            return new Event.EndpointListUpdate(kind, List.of());
        }
        List<EndpointEntry> entries = endpointLists.get(slot);
        if (entries == null) {
            throw fields.malformed("slot", "list " + slot + " has not been defined");
        }
        return new Event.EndpointListUpdate(kind, entries);
    }

    private static Event incoming(MessageFields fields) {
        fields.expectValues(9);
        return new Event.RequestReceived(
                fields.text("opId"),
                fields.integer("qos"),
                fields.optionalInteger("clientGroup", 0),
                fields.optionalText("partitionKey"),
                fields.ticks("notAfter"),
                fields.optionalNumber("expected", 0),
                fields.flag("resent"));
    }

    private static Event underWay(MessageFields fields) {
        fields.expectValues(5);
        String requestId = fields.text("opId");
        fields.ticks("lag");
        return new Event.ResponseStarted(requestId, fields.integer("sendNo"));
    }

    private static Event returned(MessageFields fields) {
        fields.expectValues(8);
        return new Event.AttemptEnded(
                fields.text("opId"),
                fields.integer("sendNo"),
                fields.text("machine"),
                fields.oneOf("status", SimulatorTerms.ATTEMPT_OUTCOMES),
                fields.ticks("lag"),
                fields.flag("ended"),
                fields.loadReport("gauge"));
    }

    private static Event withdrawn(MessageFields fields) {
        fields.expectValues(2);
        return new Event.ClientDisconnected(fields.text("opId"));
    }

    private static Event ring(MessageFields fields) {
        fields.expectValues(2);
        return new Event.TimerFired(fields.longInteger("handle"));
    }

    private static Event pong(MessageFields fields) {
        fields.expectValues(5);
        return new Event.HealthCheckEnded(
                fields.text("machine"),
                fields.oneOf("status", SimulatorTerms.ATTEMPT_OUTCOMES),
                fields.ticks("lag"),
                fields.loadReport("gauge"));
    }

    private static Event noteFrom(MessageFields fields) {
        fields.expectValues(3);
        return new Event.GossipReceived(fields.integer("from"), fields.bytes("bytes"));
    }

    private static Event releaseState(MessageFields fields) {
        fields.expectValues(8);
        ControlStatus status = fields.oneOf("status", SimulatorTerms.CONTROL_STATUSES);
        int stage = fields.optionalInteger("tranche", 0);
        double exposureCap = fields.optionalNumber("ceiling", 0);
        long ageTicks = fields.ticks("since");
        RolloutPhase phase = phase(fields);
        int build = fields.optionalInteger("build", 0);
        return new Event.RolloutUpdate(status, stage, exposureCap, ageTicks, phase, build, fields.flag("sense"));
    }

    private static RolloutPhase phase(MessageFields fields) {
        int number = fields.optionalInteger("whereAt", 0);
        if (number < 0 || number >= SimulatorTerms.PHASES.size()) {
            throw fields.malformed("whereAt", number + " is unknown");
        }
        return SimulatorTerms.PHASES.get(number);
    }

    private static Event countsByBuild(MessageFields fields) {
        fields.expectValues(7);
        return new Event.BuildStatistics(
                fields.integer("build"),
                fields.integer("qos"),
                fields.longInteger("count"),
                fields.longInteger("errors"),
                fields.ticks("lag"),
                fields.ticks("since"));
    }

    private static Event contested(MessageFields fields) {
        fields.expectValues(4);
        return new Event.ComplaintReceived(
                fields.text("machine"), fields.ticks("since"), fields.optionalInteger("qos", 0));
    }
}
