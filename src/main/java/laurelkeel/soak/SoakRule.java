package laurelkeel.soak;

/** A rule that a run is checked against (docs/soak.md). */
public enum SoakRule {
    /** Each request gets a response that an endpoint made for it, and no attempt begins after its client disconnected. */
    LOST("lost"),
    /** No new attempt is sent to a draining endpoint. */
    DRAIN("drain"),
    /** The remaining time that an endpoint is told is not longer than the client's. */
    TIME_LEFT("time left"),
    /** A client that sends a partial request gets an error or the end of its connection in time. */
    HALF_REQUEST("half"),
    /** A node exits only when it is asked to, and with status 0. */
    EXIT("exit"),
    /** A node becomes ready in time after its start. */
    START("start"),
    /** A node stays within its memory limit. */
    MEMORY("memory"),
    /** A node stays some file descriptors below its limit. */
    DESCRIPTORS("descriptors"),
    /** Endpoints receive only requests that a client sent. */
    REQUEST_ID("id"),
    /** Nodes send the control service only calls that its protocol defines. */
    CONTROL("control");

    private final String label;

    SoakRule(String label) {
        this.label = label;
    }

    /** Returns the rule's name in printed lines. */
    @Override
    public String toString() {
        return label;
    }
}
