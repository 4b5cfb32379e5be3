package laurelkeel.scenario;

import laurelkeel.config.IniSection;

/**
 * One thing that happens on a day. Times in tenths of a millisecond; what a kind does not use is 0.
 *
 * @param lasts how long, or for machines and fronts that go: how long until they are back (0: never)
 * @param by a factor, a share or a lateness in tenths, as the kind has it
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

    public enum Kind {
        OFFER,
        CRASH,
        HANG,
        SLOW,
        LOSE_ANSWERS,
        RESET,
        HALF,
        REFUSE,
        DRAIN,
        SLOW_ALL,
        LIST_STALE,
        LIST_DOWN,
        LINE_STALL,
        LINE_LATE,
        KILL_FRONT,
        STOP_FRONT,
        BURST,
        SHIFT,
        HOT_KEY
    }

    static ScenarioFault read(String name, IniSection s, int fronts) {
        long at = s.durationTicks("at", null, "0 ms", "24 h");
        Kind what = s.choice("what", null, Kind.class);
        int machines = 0, front = 0, build = 0;
        long lasts = 0;
        double by = 0;
        switch (what) {
            case OFFER -> build = s.intValue("build", null, 2, 65_535);
            case CRASH -> {
                machines = s.intValue("machines", "1", 1, 10_000);
                lasts = s.durationTicks("back-after", "0 ms", "0 ms", "24 h");
                build = s.intValue("as-build", "0", 0, 65_535);
            }
            case HANG, LOSE_ANSWERS, RESET, HALF, REFUSE -> {
                machines = s.intValue("machines", "1", 1, 10_000);
                lasts = s.durationTicks("for", null, "1 ms", "24 h");
            }
            case SLOW -> {
                machines = s.intValue("machines", "1", 1, 10_000);
                lasts = s.durationTicks("for", null, "1 ms", "24 h");
                by = s.doubleValue("by", "3", 1, 1000);
            }
            case DRAIN -> machines = s.intValue("machines", "1", 1, 10_000);
            case SLOW_ALL, BURST -> {
                lasts = s.durationTicks("for", null, "1 ms", "24 h");
                by = s.doubleValue("by", "2", 0.01, 1000);
            }
            case LIST_STALE, LIST_DOWN, LINE_STALL -> lasts = s.durationTicks("for", null, "1 ms", "24 h");
            case LINE_LATE -> {
                lasts = s.durationTicks("for", null, "1 ms", "24 h");
                by = s.durationTicks("by", "2 s", "0 ms", "1 h");
            }
            case KILL_FRONT, STOP_FRONT -> {
                front = s.intValue("front", "0", 0, fronts - 1);
                lasts = s.durationTicks("back-after", "2 s", "0 ms", "24 h");
            }
            case SHIFT -> {
                front = s.intValue("front", "0", 0, fronts - 1);
                lasts = s.durationTicks("for", null, "1 ms", "24 h");
                by = s.doubleValue("share", "0.25", 0, 1);
            }
            case HOT_KEY -> {
                lasts = s.durationTicks("for", null, "1 ms", "24 h");
                by = s.doubleValue("share", "0.2", 0, 1);
            }
            default -> throw new IllegalStateException(what.name());
        }
        return new ScenarioFault(name, at, what, machines, front, build, lasts, by);
    }

    @Override
    public String toString() {
        return name + " (" + IniSection.settingName(kind) + ")";
    }
}
