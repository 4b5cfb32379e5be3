package laurelkeel.api;

import java.util.List;
import java.util.Map;

/** What a front learns. Times are tenths of a millisecond. */
public sealed interface Event {

    /** How an attempt ended. */
    enum Outcome {
        COMPLETED,
        ERROR,
        FULL,
        TIMEOUT,
        NO_CONNECTION,
        BROKEN,
        STOPPED,
        NOT_SENT;

        /** The machine provably did nothing for the request. */
        public boolean neverRan() {
            return this == FULL || this == NO_CONNECTION || this == NOT_SENT;
        }

        /** The machine has served the request, or may have: its answer may be lost, unread or come too late. */
        public boolean mayHaveServed() {
            return !neverRan() && this != ERROR;
        }
    }

    enum MachineState {
        LIVE,
        DRAINING,
        GONE
    }

    enum ListKind {
        CHANGES,
        FULL,
        REMEMBERED,
        FAILED
    }

    enum Answer {
        OK,
        MOOT,
        OVER_LIMIT,
        ERROR,
        TIMEOUT
    }

    enum Phase {
        TRIAL,
        GOING_BACK,
        RELEASED,
        WITHDRAWN
    }

    /** One line of the list; started is 0 where that was long ago. */
    record Listed(
            String machine, int build, int zone, int cell, int kind, double size, MachineState state, long started) {}

    record MachineList(ListKind kind, List<Listed> machines) implements Event {}

    /** key is null and cost is 0 where there is none. */
    record Req(String id, int route, int customer, String key, long clientLeaves, double cost, boolean repeat)
            implements Event {}

    record AnswerBegun(String req, int tryNo) implements Event {}

    record TryEnded(
            String req,
            int tryNo,
            String machine,
            Outcome outcome,
            long took,
            boolean reqOver,
            Map<String, Double> load)
            implements Event {}

    record ClientLeft(String req) implements Event {}

    record TimerDue(long handle) implements Event {}

    record Probed(String machine, Outcome outcome, long took, Map<String, Double> load) implements Event {}

    record Note(int from, byte[] bytes) implements Event {}

    /** Where a build stands. Only answer and toVote hold anything where answer is not OK. */
    record ReleaseNews(Answer answer, int stage, double cap, long age, Phase phase, int build, boolean toVote)
            implements Event {}

    record BuildCounts(int build, int route, long tries, long errors, long meanTime, long age) implements Event {}

    record Complaint(String machine, long sentAgo, int route) implements Event {}
}
