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
    @JsonSubTypes.Type(value = Rec.Rules.class, name = "rules"),
    @JsonSubTypes.Type(value = Rec.Asked.class, name = "asked"),
    @JsonSubTypes.Type(value = Rec.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = Rec.Stray.class, name = "stray"),
    @JsonSubTypes.Type(value = Rec.Broke.class, name = "broke"),
    @JsonSubTypes.Type(value = Rec.LeftEarly.class, name = "left"),
    @JsonSubTypes.Type(value = Rec.FrontUp.class, name = "frontUp"),
    @JsonSubTypes.Type(value = Rec.FrontDown.class, name = "frontDown"),
    @JsonSubTypes.Type(value = Rec.ToldList.class, name = "toldList"),
    @JsonSubTypes.Type(value = Rec.ToldNews.class, name = "toldNews"),
    @JsonSubTypes.Type(value = Rec.MachineUp.class, name = "machineUp"),
    @JsonSubTypes.Type(value = Rec.MachineDown.class, name = "machineDown"),
    @JsonSubTypes.Type(value = Rec.Arrived.class, name = "arrived"),
    @JsonSubTypes.Type(value = Rec.TurnedAway.class, name = "turnedAway"),
    @JsonSubTypes.Type(value = Rec.Ran.class, name = "ran"),
    @JsonSubTypes.Type(value = Rec.Replied.class, name = "replied"),
    @JsonSubTypes.Type(value = Rec.Voted.class, name = "voted"),
    @JsonSubTypes.Type(value = Rec.Stage.class, name = "stage"),
    @JsonSubTypes.Type(value = Rec.Blamed.class, name = "blamed"),
    @JsonSubTypes.Type(value = Rec.Lost.class, name = "lost")
})
public sealed interface Rec {
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
            implements Rec {}

    /** So many records before this one did not reach the file. */
    record Lost(long t, long records) implements Rec {}

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
            implements Rec {}

    /** A client read an answer whole. notTaken: the front said that it turned the req away at its door. */
    record Answered(long t, String req, int status, Final is, boolean notTaken) implements Rec {}

    /** Bytes came that answer nothing asked. */
    record Stray(long t, String req, String what) implements Rec {}

    /** The connection ended before the answer was whole. */
    record Broke(long t, String req, String how) implements Rec {}

    /** The client closed of its own will, before its time was up where early. */
    record LeftEarly(long t, String req, boolean early) implements Rec {}

    record FrontUp(long t, int front, String life) implements Rec {}

    /** killed: by force, so that nothing held is owed any more. */
    record FrontDown(long t, int front, boolean killed) implements Rec {}

    record Entry(String machine, long run, int build, State state) {}

    record ToldList(long t, int front, String life, ListKind kind, List<Entry> machines) implements Rec {}

    record ToldNews(long t, int front, String life, int build, int stage, double cap, Phase phase) implements Rec {}

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
            implements Rec {}

    /** why: died, drained, tipped. */
    record MachineDown(long t, String machine, long run, String why) implements Rec {}

    record Arrived(long t, String machine, long run, int build, String req, int no, int front, String life)
            implements Rec {}

    /** Before any work: this try provably never ran. */
    record TurnedAway(long t, String machine, long run, String req, int no) implements Rec {}

    /** Work began that may have an effect; dropped: known by its mark as a repeat, so without a further effect. */
    record Ran(long t, String machine, long run, String req, int no, boolean dropped) implements Rec {}

    record Replied(long t, String machine, long run, String req, int no, int status) implements Rec {}

    record Voted(long t, int front, int build, int stage, String verdict, String answer) implements Rec {}

    /** What the release line says of a build from then on: none, open, cleared, guilty or set-aside, and why. */
    record Blamed(long t, int build, String word, double probability, String evidence) implements Rec {}

    record Stage(long t, int build, int stage, double cap, Phase phase) implements Rec {}
}
