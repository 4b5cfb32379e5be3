package laurelkeel.records;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * One line of a record file. t is the host's monotonic clock in tenths of a millisecond, the same for all processes
 * of one host. req is the id of one try of a client; asks with the same of belong to one req of a caller. run is a
 * machine's start under an address, life a front's start under a number.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
@JsonInclude(JsonInclude.Include.NON_NULL)
@JsonSubTypes({
    @JsonSubTypes.Type(value = TrafficRecord.Rules.class, name = "rules"),
    @JsonSubTypes.Type(value = TrafficRecord.Asked.class, name = "asked"),
    @JsonSubTypes.Type(value = TrafficRecord.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = TrafficRecord.Stray.class, name = "stray"),
    @JsonSubTypes.Type(value = TrafficRecord.Broke.class, name = "broke"),
    @JsonSubTypes.Type(value = TrafficRecord.LeftEarly.class, name = "left"),
    @JsonSubTypes.Type(value = TrafficRecord.FrontUp.class, name = "frontUp"),
    @JsonSubTypes.Type(value = TrafficRecord.FrontDown.class, name = "frontDown"),
    @JsonSubTypes.Type(value = TrafficRecord.ToldList.class, name = "toldList"),
    @JsonSubTypes.Type(value = TrafficRecord.ToldNews.class, name = "toldNews"),
    @JsonSubTypes.Type(value = TrafficRecord.MachineUp.class, name = "machineUp"),
    @JsonSubTypes.Type(value = TrafficRecord.MachineDown.class, name = "machineDown"),
    @JsonSubTypes.Type(value = TrafficRecord.Arrived.class, name = "arrived"),
    @JsonSubTypes.Type(value = TrafficRecord.TurnedAway.class, name = "turnedAway"),
    @JsonSubTypes.Type(value = TrafficRecord.Ran.class, name = "ran"),
    @JsonSubTypes.Type(value = TrafficRecord.Replied.class, name = "replied"),
    @JsonSubTypes.Type(value = TrafficRecord.Voted.class, name = "voted"),
    @JsonSubTypes.Type(value = TrafficRecord.Stage.class, name = "stage"),
    @JsonSubTypes.Type(value = TrafficRecord.Blamed.class, name = "blamed"),
    @JsonSubTypes.Type(value = TrafficRecord.Lost.class, name = "lost")
})
public sealed interface TrafficRecord {
    long t();

    enum Effect {
        RETRIABLE,
        DEDUPED,
        NON_RETRIABLE
    }

    enum Group {
        ALL,
        ZONE,
        CELL
    }

    enum Final {
        COMPLETED,
        SHED,
        ERRORED
    }

    enum State {
        LIVE,
        DRAINING,
        GONE
    }

    enum ListKind {
        CHANGES,
        FULL,
        REMEMBERED
    }

    enum Phase {
        TRIAL,
        GOING_BACK,
        RELEASED,
        WITHDRAWN
    }

    /** One route's figures for the rules; window in tenths of a millisecond. */
    record RouteRule(String name, Effect effect, Group group, long window) {}

    /** The figures of the rules that hold for a run; one stands in each set of records. */
    record Rules(
            long t,
            List<RouteRule> routes,
            long drainGrace,
            long window,
            double free,
            boolean perRoute,
            int guardedStages,
            boolean keysStay,
            List<Double> stageCaps)
            implements TrafficRecord {}

    /** So many records before this one did not reach the file. */
    record Lost(long t, long records) implements TrafficRecord {}

    /** A client wrote a req to a front, to be answered before leaves. */
    record Asked(
            long t,
            String req,
            String of,
            int front,
            String route,
            String customer,
            String key,
            String mark,
            long leaves,
            boolean again)
            implements TrafficRecord {}

    /** A client read an answer whole. notTaken: the front said that it turned the req away at its door. */
    record Answered(long t, String req, int status, Final is, boolean notTaken) implements TrafficRecord {}

    /** Bytes came that answer nothing asked. */
    record Stray(long t, String req, String what) implements TrafficRecord {}

    /** The connection ended before the answer was whole. */
    record Broke(long t, String req, String how) implements TrafficRecord {}

    /** The client closed of its own will, before its time was up where early. */
    record LeftEarly(long t, String req, boolean early) implements TrafficRecord {}

    record FrontUp(long t, int front, String life) implements TrafficRecord {}

    /** killed: by force, so that nothing held is owed any more. */
    record FrontDown(long t, int front, boolean killed) implements TrafficRecord {}

    record Entry(String machine, long run, int build, State state) {}

    record ToldList(long t, int front, String life, ListKind kind, List<Entry> machines) implements TrafficRecord {}

    record ToldNews(long t, int front, String life, int build, int stage, double cap, Phase phase)
            implements TrafficRecord {}

    /** capacity is in reqs a second when warm; it begins at coldFrom of that and grows evenly over coldFor. */
    record MachineUp(
            long t,
            String machine,
            long run,
            int build,
            int zone,
            int cell,
            double capacity,
            double coldFrom,
            long coldFor,
            double tipMultiple,
            long tipAfter,
            boolean cold)
            implements TrafficRecord {}

    /** why: died, drained, tipped. */
    record MachineDown(long t, String machine, long run, String why) implements TrafficRecord {}

    record Arrived(long t, String machine, long run, int build, String req, int no, int front, String life)
            implements TrafficRecord {}

    /** Before any work: this try provably never ran. */
    record TurnedAway(long t, String machine, long run, String req, int no) implements TrafficRecord {}

    /** Work began that may have an effect; dropped: known by its mark as a repeat, so without a further effect. */
    record Ran(long t, String machine, long run, String req, int no, boolean dropped) implements TrafficRecord {}

    record Replied(long t, String machine, long run, String req, int no, int status) implements TrafficRecord {}

    record Voted(long t, int front, int build, int stage, String verdict, String answer) implements TrafficRecord {}

    /** What the release line says of a build from then on: none, open, cleared, guilty or set-aside, and why. */
    record Blamed(long t, int build, String word, double probability, String evidence) implements TrafficRecord {}

    record Stage(long t, int build, int stage, double cap, Phase phase) implements TrafficRecord {}
}
