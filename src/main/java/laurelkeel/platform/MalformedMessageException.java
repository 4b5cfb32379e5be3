package laurelkeel.platform;

/** Signals a message that violates the protocol; the exception names the field and the reason. */
final class MalformedMessageException extends UnusableMessageException {
    private static final long serialVersionUID = 1L;
    private static final int MAX_EXCERPT_CHARS = 60;

    private final String field;
    private final String reason;

    /**
     * Creates an exception.
     *
     * @param field the malformed field or part of the message
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

    /** Returns the quoted start of received text, with non-printable characters replaced by question marks. */
    static String excerpt(String received) {
        String start =
                received.length() > MAX_EXCERPT_CHARS ? received.substring(0, MAX_EXCERPT_CHARS) + "..." : received;
        return "'" + start.replaceAll("[^ -~]", "?") + "'";
    }
}
