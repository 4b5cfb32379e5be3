package laurelkeel.platform;

/** A configuration that cannot be followed; the message names the field. */
public final class BadConfig extends Exception {
    private static final long serialVersionUID = 1L;

    BadConfig(String what) {
        super(what);
    }
}
