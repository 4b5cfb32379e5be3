package laurelkeel.scenario;

import java.util.LinkedHashMap;
import java.util.Map;
import laurelkeel.config.IniSection;

/**
 * One event of a scenario. Components that its kind does not use are 0.
 *
 * @param startTicks time of the event, from the start of the scenario
 * @param serverCount number of affected servers, which are chosen at random
 * @param durationTicks duration of the fault; for servers and nodes that stop, the time until they start again (for
 *     crashed servers, 0 means never)
 * @param magnitude a factor, a share, or a delay in ticks, depending on the kind
 */
public record ScenarioFault(
        String name,
        long startTicks,
        Kind kind,
        int serverCount,
        int nodeIndex,
        int build,
        long durationTicks,
        double magnitude) {

    /** The kinds of events, each with its name in scenario files. */
    public enum Kind {
        OFFER_BUILD("offer"),
        CRASH_SERVERS("crash"),
        HANG_SERVERS("hang"),
        SLOW_SERVERS("slow"),
        LOSE_RESPONSES("lose-answers"),
        RESET_CONNECTIONS("reset"),
        TRUNCATE_RESPONSES("half"),
        REFUSE_CONNECTIONS("refuse"),
        DRAIN_SERVERS("drain"),
        SLOW_FLEET("slow-all"),
        STALE_ENDPOINT_LIST("list-stale"),
        ENDPOINT_LIST_DOWN("list-down"),
        ROLLOUT_SERVICE_STALLED("line-stall"),
        ROLLOUT_UPDATES_DELAYED("line-late"),
        KILL_NODE("kill-front"),
        STOP_NODE("stop-front"),
        LOAD_BURST("burst"),
        LOAD_SHIFT("shift"),
        HOT_KEY("hot-key");

        private static final Map<String, Kind> BY_SETTING_NAME = bySettingName();

        private final String settingName;

        Kind(String settingName) {
            this.settingName = settingName;
        }

        private static Map<String, Kind> bySettingName() {
            Map<String, Kind> kinds = new LinkedHashMap<>();
            for (Kind kind : values()) {
                kinds.put(kind.settingName, kind);
            }
            return kinds;
        }
    }

    /** Reads an event's section; errors are added to the section. */
    static ScenarioFault read(String name, IniSection section, int nodeCount) {
        long startTicks = section.durationTicks("at", IniSection.REQUIRED, "0 ms", "24 h");
        Kind kind = section.choice("what", IniSection.REQUIRED, Kind.BY_SETTING_NAME);
        int serverCount = 0;
        int nodeIndex = 0;
        int build = 0;
        long durationTicks = 0;
        double magnitude = 0;
        switch (kind) {
            case OFFER_BUILD -> build = section.intValue("build", IniSection.REQUIRED, 2, 65_535);
            case CRASH_SERVERS -> {
                serverCount = readServerCount(section);
                durationTicks = section.durationTicks("back-after", "0 ms", "0 ms", "24 h");
                build = section.intValue("as-build", "0", 0, 65_535);
            }
            case HANG_SERVERS, LOSE_RESPONSES, RESET_CONNECTIONS, TRUNCATE_RESPONSES, REFUSE_CONNECTIONS -> {
                serverCount = readServerCount(section);
                durationTicks = readDuration(section);
            }
            case SLOW_SERVERS -> {
                serverCount = readServerCount(section);
                durationTicks = readDuration(section);
                magnitude = section.doubleValue("by", "3", 1, 1000);
            }
            case DRAIN_SERVERS -> serverCount = readServerCount(section);
            case SLOW_FLEET, LOAD_BURST -> {
                durationTicks = readDuration(section);
                magnitude = section.doubleValue("by", "2", 0.01, 1000);
            }
            case STALE_ENDPOINT_LIST, ENDPOINT_LIST_DOWN, ROLLOUT_SERVICE_STALLED ->
                durationTicks = readDuration(section);
            case ROLLOUT_UPDATES_DELAYED -> {
                durationTicks = readDuration(section);
                magnitude = section.durationTicks("by", "2 s", "0 ms", "1 h");
            }
            case KILL_NODE, STOP_NODE -> {
                nodeIndex = readNodeIndex(section, nodeCount);
                durationTicks = section.durationTicks("back-after", "2 s", "0 ms", "24 h");
            }
            case LOAD_SHIFT -> {
                nodeIndex = readNodeIndex(section, nodeCount);
                durationTicks = readDuration(section);
                magnitude = section.doubleValue("share", "0.25", 0, 1);
            }
            case HOT_KEY -> {
                durationTicks = readDuration(section);
                magnitude = section.doubleValue("share", "0.2", 0, 1);
            }
        }
        return new ScenarioFault(name, startTicks, kind, serverCount, nodeIndex, build, durationTicks, magnitude);
    }

    private static int readServerCount(IniSection section) {
        return section.intValue("machines", "1", 1, 10_000);
    }

    private static int readNodeIndex(IniSection section, int nodeCount) {
        return section.intValue("front", "0", 0, nodeCount - 1);
    }

    private static long readDuration(IniSection section) {
        return section.durationTicks("for", IniSection.REQUIRED, "1 ms", "24 h");
    }

    /** Returns the name and kind as written in the scenario's file. */
    @Override
    public String toString() {
        return name + " (" + kind.settingName + ")";
    }
}
