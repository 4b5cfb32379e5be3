package laurelkeel.api;

import java.util.List;

/** What a front is told when it starts. Times are tenths of a millisecond. */
public record Settings(
        int self,
        int fronts,
        int zone,
        List<Route> routes,
        List<Customer> customers,
        Limits limits,
        Allowed allowed,
        Prices prices,
        Rollout rollout,
        boolean earningsByWork) {

    public enum Effect {
        RETRIABLE,
        DEDUPED,
        NON_RETRIABLE
    }

    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    public record Route(
            Effect effect,
            Group group,
            long objective,
            long timeout,
            double earnings,
            double lateShare,
            long repeatWindow) {}

    /** A customer's reqs a second within its share, over all fronts. */
    public record Customer(double quota) {}

    public record Limits(
            long drainGrace, long coldFor, double coldFrom, long tipAfter, double tipMultiple, long askWithin) {}

    public record Allowed(
            int tries,
            boolean probes,
            boolean notes,
            boolean stops,
            boolean retryAfter,
            long longestRetryAfter,
            boolean listAsked) {}

    public record Prices(double crossZone, double probe, double note, double behind, double harm) {}

    public enum Control {
        ANY,
        COUNT,
        CLOCK
    }

    public record Rollout(
            Control control,
            int onVotes,
            int backVotes,
            int holdVotes,
            long voteLife,
            long voteTimeout,
            double votesPerSecond,
            List<Double> stageCaps,
            long leastStage,
            int guardedStages,
            boolean keysStay,
            long window,
            double free,
            boolean perRoute,
            long countsEvery,
            double complaintShare) {}
}
