package laurelkeel.soak;

/** A rule that a run is judged by (docs/soak.md). */
public enum SoakRule {
    /** Each request gets an answer that an endpoint made for it, and no attempt begins after its client has left. */
    LOST("lost"),
    /** No new attempt goes to an endpoint that drains. */
    DRAIN("drain"),
    /** An endpoint is told no more time than the client has left. */
    TIME_LEFT("time left"),
    /** A client that stops in the middle of a request gets an error or the end of its connection in time. */
    HALF_REQUEST("half"),
    /** A node ends only when it is asked to, and with status 0. */
    EXIT("exit"),
    /** A node is ready in time. */
    START("start"),
    /** A node stays within its memory. */
    MEMORY("memory"),
    /** A node keeps some file descriptors free. */
    DESCRIPTORS("descriptors"),
    /** Endpoints get only requests that a client sent. */
    REQUEST_ID("id"),
    /** Nodes send the control service only calls that it knows. */
    CONTROL("control");

    private final String label;

    SoakRule(String label) {
        this.label = label;
    }

    /** The rule's name in printed lines. */
    @Override
    public String toString() {
        return label;
    }
}
