package laurelkeel.testbed;

import laurelkeel.records.RecordTerms.EndpointState;
import laurelkeel.records.RecordTerms.RolloutPhase;

/** Maps the names used in messages of the simulated services to the terms of this package. */
final class ServiceTerms {
    /** The change that a vote requests. */
    enum Verdict {
        PROMOTE,
        HOLD,
        ROLL_BACK,
        UNKNOWN
    }

    /** How the service handled a vote. */
    enum VoteAnswer {
        COUNTED("ok"),
        STALE("moot"),
        RATE_LIMITED("over-limit");

        private final String wireName;

        VoteAnswer(String wireName) {
            this.wireName = wireName;
        }

        String wireName() {
            return wireName;
        }
    }

    private ServiceTerms() {}

    static Verdict verdict(String wireName) {
        return switch (wireName) {
            case "on" -> Verdict.PROMOTE;
            case "hold" -> Verdict.HOLD;
            case "back" -> Verdict.ROLL_BACK;
            default -> Verdict.UNKNOWN;
        };
    }

    static String wireName(RolloutPhase phase) {
        return switch (phase) {
            case CANARY -> "trial";
            case ROLLING_BACK -> "going-back";
            case RELEASED -> "released";
            case ROLLED_BACK -> "withdrawn";
        };
    }

    static String wireName(EndpointState state) {
        return switch (state) {
            case ACTIVE -> "live";
            case DRAINING -> "draining";
            case REMOVED -> "gone";
        };
    }
}
