package laurelkeel.wire;

/** A second copy of a response, which arrived after the response was read; the rest of the connection's input is skipped. */
public enum SurplusCopy {
    /** The only value. */
    INSTANCE
}
