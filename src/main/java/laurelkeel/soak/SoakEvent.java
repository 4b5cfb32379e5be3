package laurelkeel.soak;

/** What may happen at one moment of a run. Plans are drawn by the order of the constants, and printed by their names. */
public enum SoakEvent {
    /** A node gets one to three SIGTERMs, and is started again. */
    RESTART,
    /** A node gets SIGKILL, and is started again. */
    KILL,
    /** A node gets SIGKILL, its next process SIGTERM before it is ready, and it is started again. */
    TERM_AT_START,
    /** A node gets some configurations, each with other addresses and SIGHUP. */
    NEW_CONFIGURATIONS,
    /** The same right before SIGTERM. */
    NEW_CONFIGURATION_AND_RESTART,
    /** The same while the node drains. */
    NEW_CONFIGURATION_WHILE_DRAINING,
    /** A node's discovery sends nothing for a while. */
    DISCOVERY_SILENT,
    /** Nobody listens at a node's address of discovery for a while. */
    DISCOVERY_DOWN,
    /** Discovery sends a list that cannot be parsed. */
    DISCOVERY_SPOILT,
    /** An endpoint drains. */
    SERVER_DRAINS,
    /** An endpoint hangs for good. */
    SERVER_HANGS,
    /** A node gets more connections than it may have. */
    CROWD,
    /** A node's process is stopped for a moment, one to five times. */
    HELD_UP
}
