package laurelkeel.soak;

/** The program that runs as the node of a {@link SingleNodeTestBed}. */
public enum NodeKind {
    /** {@code serve}: the users' platform. */
    SERVE,
    /** {@code front}: a standalone node with an INI file. */
    FRONT
}
