package laurelkeel.records;

import com.fasterxml.jackson.annotation.JsonValue;

/** The enumerations used in records. Each constant has the name that stored files use, which must not change. */
public final class RecordTerms {
    private RecordTerms() {}

    /** Whether and how a route's requests may be repeated safely. */
    public enum Idempotency {
        IDEMPOTENT("RETRIABLE"),
        DEDUPLICATED("DEDUPED"),
        NOT_IDEMPOTENT("NON_RETRIABLE");

        private final String storedName;

        Idempotency(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name used in stored records. */
        @JsonValue
        public String storedName() {
            return storedName;
        }
    }

    /** Which servers share a deduplication cache. */
    public enum DeduplicationScope {
        ALL("ALL"),
        ZONE("ZONE"),
        CELL("CELL");

        private final String storedName;

        DeduplicationScope(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name used in stored records. */
        @JsonValue
        public String storedName() {
            return storedName;
        }
    }

    /** The outcome that a node's response indicates. */
    public enum Outcome {
        COMPLETED("COMPLETED"),
        REJECTED("SHED"),
        FAILED("ERRORED");

        private final String storedName;

        Outcome(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name used in stored records. */
        @JsonValue
        public String storedName() {
            return storedName;
        }
    }

    /** The state of an endpoint in the endpoint list. */
    public enum EndpointState {
        ACTIVE("LIVE"),
        DRAINING("DRAINING"),
        REMOVED("GONE");

        private final String storedName;

        EndpointState(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name used in stored records. */
        @JsonValue
        public String storedName() {
            return storedName;
        }
    }

    /** How an update of the endpoint list relates to the previously known list. */
    public enum EndpointListKind {
        DELTA("CHANGES"),
        SNAPSHOT("FULL"),
        CACHED("REMEMBERED");

        private final String storedName;

        EndpointListKind(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name used in stored records. */
        @JsonValue
        public String storedName() {
            return storedName;
        }
    }

    /** The phase of a build's rollout. */
    public enum RolloutPhase {
        CANARY("TRIAL"),
        ROLLING_BACK("GOING_BACK"),
        RELEASED("RELEASED"),
        ROLLED_BACK("WITHDRAWN");

        private final String storedName;

        RolloutPhase(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name used in stored records. */
        @JsonValue
        public String storedName() {
            return storedName;
        }
    }

    /** Why a server stopped. */
    public enum StopReason {
        CRASHED("died"),
        DRAINED("drained"),
        OVERLOADED("tipped"),
        CLOSED("end");

        private final String storedName;

        StopReason(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name used in stored records. */
        @JsonValue
        public String storedName() {
            return storedName;
        }
    }
}
