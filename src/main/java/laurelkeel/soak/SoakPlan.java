package laurelkeel.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * What happens in one run and when: drawn from its seed ahead, so that a seed gives the same plan however threads take
 * their turns. Parts of it may be left out, by name, to find those that a failure needs.
 *
 * @param seed all is drawn from it
 * @param quietSeconds nothing happens for so long at first, but for what clients ask
 * @param seconds how long events come after that
 * @param events in the order of their time
 * @param clockSteps steps of the nodes' wall clocks, as faults.c takes them; empty where there are none
 * @param callFaults system calls that fail, as faults.c takes them; empty where there are none
 * @param breaksReads connections break under their requests, as a read that fails shows it
 * @param leftOut names of the parts that were drawn and do not happen
 */
public record SoakPlan(
        long seed,
        int quietSeconds,
        int seconds,
        List<Planned> events,
        String clockSteps,
        String callFaults,
        boolean breaksReads,
        Set<String> leftOut) {
    static final int NODES = 3;
    /** The parts beside the events, which have numbers. */
    public static final String CLOCK = "clock", CALLS = "calls";

    private static final double FIRST_EVENT = 0.5, LEAST_PAUSE = 0.2, MOST_PAUSE = 2.2;
    private static final long[] OFFSETS_MS = {3_600_000, -3_600_000, 5_000, -5_000};
    /**
     * Linux's numbers of errors that may come for a moment, by call; 0: a transfer that is short. Not EMFILE (24) for accept: it
     * says that a process is at its own limit, and MINA waits for 50 ms there.
     */
    private static final Map<String, int[]> ERRORS = Map.of(
            "accept",
            new int[] {103, 23, 105},
            "socket",
            new int[] {23, 24, 105},
            "connect",
            new int[] {99, 101, 105},
            "wait",
            new int[] {4},
            "read",
            new int[] {0, 110, 113},
            "write",
            new int[] {0},
            "open",
            new int[] {23, 24, 5});
    /** A read that fails breaks a connection under its requests, which is no fault of a node: rarely, then. */
    private static final Map<String, Integer> PERCENT =
            Map.of("accept", 40, "socket", 30, "connect", 30, "wait", 20, "read", 5, "write", 20, "open", 60);

    /** What may happen at one moment of a run. */
    public enum Event {
        RESTART,
        KILL,
        TERM_AT_START,
        NEW_CONFIGURATIONS,
        NEW_CONFIGURATION_AND_RESTART,
        NEW_CONFIGURATION_WHILE_DRAINING,
        DISCOVERY_SILENT,
        DISCOVERY_DOWN,
        DISCOVERY_SPOILT,
        SERVER_DRAINS,
        SERVER_HANGS,
        CROWD,
        HELD_UP
    }

    /**
     * One event.
     *
     * @param number names it in the plan
     * @param at seconds after the start of the run
     * @param draws its details are drawn from this
     */
    public record Planned(int number, double at, Event event, int node, long draws) {}

    /** Draws a run. */
    public static SoakPlan draw(long seed, int quietSeconds, int seconds) {
        Random random = new Random(seed);
        String steps = "";
        if (random.nextInt(3) == 0) {
            steps = (500 + random.nextInt(seconds * 500)) + ":" + OFFSETS_MS[random.nextInt(OFFSETS_MS.length)] + ","
                    + (seconds * 500 + random.nextInt(seconds * 500)) + ":"
                    + OFFSETS_MS[random.nextInt(OFFSETS_MS.length)];
        }
        String faults = "";
        boolean breaksReads = false;
        if (random.nextInt(3) == 0) {
            List<String> calls = ERRORS.keySet().stream().sorted().toList();
            String call = calls.get(random.nextInt(calls.size()));
            int error = ERRORS.get(call)[random.nextInt(ERRORS.get(call).length)];
            breaksReads = call.equals("read") && error != 0;
            faults = call + ":" + error + ":" + (1_000 + random.nextInt(2_000)) + ":" + (500 + random.nextInt(3_000))
                    + ":" + PERCENT.get(call);
        }
        return new SoakPlan(
                seed,
                quietSeconds,
                seconds,
                drawEvents(random, quietSeconds, seconds),
                steps,
                faults,
                breaksReads,
                Set.of());
    }

    private static List<Planned> drawEvents(Random random, int quietSeconds, int seconds) {
        List<Planned> events = new ArrayList<>();
        double at = quietSeconds + FIRST_EVENT;
        while (at < quietSeconds + seconds) {
            Event event = Event.values()[random.nextInt(Event.values().length)];
            events.add(new Planned(events.size(), at, event, random.nextInt(NODES), random.nextLong()));
            at += LEAST_PAUSE + random.nextDouble() * (MOST_PAUSE - LEAST_PAUSE);
        }
        return events;
    }

    /** The names of all parts that happen. */
    public List<String> parts() {
        List<String> parts = new ArrayList<>();
        if (!clockSteps.isEmpty()) {
            parts.add(CLOCK);
        }
        if (!callFaults.isEmpty()) {
            parts.add(CALLS);
        }
        events.forEach(event -> parts.add(Integer.toString(event.number)));
        return parts;
    }

    /** The same without these parts; names of none are passed over. */
    public SoakPlan without(Set<String> names) {
        Set<String> out = new TreeSet<>(leftOut);
        out.addAll(names);
        List<Planned> rest = events.stream()
                .filter(event -> !names.contains(Integer.toString(event.number)))
                .toList();
        boolean calls = names.contains(CALLS);
        return new SoakPlan(
                seed,
                quietSeconds,
                seconds,
                rest,
                names.contains(CLOCK) ? "" : clockSteps,
                calls ? "" : callFaults,
                !calls && breaksReads,
                out);
    }

    /** One line, with the name of each part. */
    @Override
    public String toString() {
        List<String> lines = new ArrayList<>();
        if (!clockSteps.isEmpty()) {
            lines.add("clock " + clockSteps);
        }
        if (!callFaults.isEmpty()) {
            lines.add("calls " + callFaults);
        }
        events.forEach(
                e -> lines.add(String.format(Locale.ROOT, "%d: %.1f s %s n%d", e.number, e.at, e.event, e.node)));
        if (!leftOut.isEmpty()) {
            lines.add("left out: " + String.join(" ", leftOut));
        }
        return String.join(", ", lines);
    }
}
