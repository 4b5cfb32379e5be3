package laurelkeel.platform;

/** Bytes of a source that cannot be what it is to say; its connection is of no further use. */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String what) {
        super(what, null, false, false);
    }

    /** The start of what was read, in letters that a log can hold. */
    static String shown(String s) {
        return (s.length() > 60 ? s.substring(0, 60) + "..." : s).replaceAll("[^ -~]", "?");
    }
}
