package laurelkeel.soak;

/** The kinds of events of a run. The order of the constants determines the plan of a seed; plans print their names. */
public enum SoakEvent {
    /** A node gets one to three SIGTERMs, and is restarted. */
    RESTART,
    /** A node gets SIGKILL, and is restarted. */
    KILL,
    /** A node gets SIGKILL, its next process gets SIGTERM while it starts up, and the node is restarted. */
    TERM_AT_START,
    /** A node gets one to four configurations with new service addresses, each followed by SIGHUP. */
    NEW_CONFIGURATIONS,
    /** As {@link #NEW_CONFIGURATIONS}, followed immediately by SIGTERM and a restart. */
    NEW_CONFIGURATION_AND_RESTART,
    /** As {@link #NEW_CONFIGURATIONS}, while the node drains after SIGTERM; then a restart. */
    NEW_CONFIGURATION_WHILE_DRAINING,
    /** A node's discovery server sends nothing for up to 3 s. */
    DISCOVERY_SILENT,
    /** No server listens at a node's discovery address for 2.5 to 7.5 s. */
    DISCOVERY_DOWN,
    /** Discovery sends all nodes an endpoint list that cannot be parsed. */
    DISCOVERY_SPOILT,
    /** A random endpoint starts to drain. */
    SERVER_DRAINS,
    /** A random endpoint hangs for the rest of the run. */
    SERVER_HANGS,
    /** A node gets more connections than it may have (see {@link ConnectionFlood}). */
    CROWD,
    /** A node's process is paused briefly (SIGSTOP, SIGCONT), one to five times. */
    HELD_UP
}
