package laurelkeel.platform;

/** Signals a message that breaks the protocol; it names the field and the reason. */
final class MalformedMessageException extends UnusableMessageException {
    private static final long serialVersionUID = 1L;
    private static final int MAX_EXCERPT_CHARS = 60;

    private final String field;
    private final String reason;

    /**
     * Creates one.
     *
     * @param field the field or part of the message that is wrong
     * @param reason what is wrong with it
     */
    MalformedMessageException(String field, String reason) {
        super(field + ": " + reason);
        this.field = field;
        this.reason = reason;
    }

    String field() {
        return field;
    }

    String reason() {
        return reason;
    }

    /** The quoted start of what a peer sent, in printable characters. */
    static String excerpt(String received) {
        String start =
                received.length() > MAX_EXCERPT_CHARS ? received.substring(0, MAX_EXCERPT_CHARS) + "..." : received;
        return "'" + start.replaceAll("[^ -~]", "?") + "'";
    }
}
