package laurelkeel.front.ingress;

/** What a node knows about a client, from the input of its connection. */
public enum ClientState {
    /** All input that has arrived was read, and the client has not ended its output. */
    CONNECTED("connected"),
    /** Reading has stopped before input that may have arrived; the end of the connection would be behind it. */
    INPUT_UNREAD("input_unread"),
    /** The client has ended its output, or its connection has failed. */
    ENDED("ended");

    /** Why the requests of a client are refused while its state is {@link #INPUT_UNREAD}, for the bodies of responses. */
    public static final String UNREAD_REASON = "more was sent on this connection than is read ahead";

    private final String label;

    ClientState(String label) {
        this.label = label;
    }

    /** Returns the value of the {@code client} label of the metric {@code laurelkeel_tries_asked}. */
    public String label() {
        return label;
    }

    /** Returns the label, so that log lines name a state as the metric does. */
    @Override
    public String toString() {
        return label;
    }
}
