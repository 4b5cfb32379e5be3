package laurelkeel.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * The events and faults of one run, with their times. A plan is generated from its seed before the run, so that a seed gives
 * the same plan regardless of how threads are scheduled. Parts of a plan can be excluded by name, to find those that a
 * failure needs.
 *
 * @param seed of all random values
 * @param quietSeconds duration of the initial phase without events, in which only clients send requests
 * @param seconds duration of the following phase with events
 * @param events in chronological order
 * @param clockSteps steps of the nodes' wall clocks, in the format of faults.c; empty if there are none
 * @param callFaults system calls that fail, in the format of faults.c; empty if there are none
 * @param breaksConnections whether failing reads break connections that have requests in flight
 * @param excludedParts names of generated parts that are not executed
 */
public record SoakPlan(
        long seed,
        int quietSeconds,
        int seconds,
        List<PlannedEvent> events,
        String clockSteps,
        String callFaults,
        boolean breaksConnections,
        Set<String> excludedParts) {
    static final int NODES = 3;
    /** The name of the part that makes the nodes' wall clocks step. */
    public static final String CLOCK = "clock";
    /** The name of the part that makes system calls fail. */
    public static final String CALLS = "calls";

    private static final List<SoakEvent> EVENTS = List.of(SoakEvent.values());
    /** On average one in this many runs has clock steps, and one in this many has failing system calls. */
    private static final int RUNS_PER_FAULT = 3;

    private static final double FIRST_EVENT_SECONDS = 0.5;
    private static final double MIN_PAUSE_SECONDS = 0.2;
    private static final double MAX_PAUSE_SECONDS = 2.2;

    /**
     * Generates the plan of a run.
     *
     * @param quietSeconds duration of the initial phase without events
     * @param seconds duration of the following phase with events; at least 1
     */
    public static SoakPlan generate(long seed, int quietSeconds, int seconds) {
        Random random = new Random(seed);
        String clockSteps = random.nextInt(RUNS_PER_FAULT) == 0 ? SystemFaults.generateClockSteps(random, seconds) : "";
        SystemFaults.CallFaults faults = random.nextInt(RUNS_PER_FAULT) == 0
                ? SystemFaults.generateCallFaults(random)
                : SystemFaults.CallFaults.NONE;
        List<PlannedEvent> events = generateEvents(random, quietSeconds, seconds);
        return new SoakPlan(
                seed, quietSeconds, seconds, events, clockSteps, faults.text(), faults.breaksConnections(), Set.of());
    }

    private static List<PlannedEvent> generateEvents(Random random, int quietSeconds, int seconds) {
        List<PlannedEvent> events = new ArrayList<>();
        double atSeconds = quietSeconds + FIRST_EVENT_SECONDS;
        while (atSeconds < quietSeconds + seconds) {
            SoakEvent event = EVENTS.get(random.nextInt(EVENTS.size()));
            events.add(new PlannedEvent(events.size(), atSeconds, event, random.nextInt(NODES), random.nextLong()));
            atSeconds += MIN_PAUSE_SECONDS + random.nextDouble() * (MAX_PAUSE_SECONDS - MIN_PAUSE_SECONDS);
        }
        return events;
    }

    /** Returns the names of all parts that are executed. */
    public List<String> parts() {
        List<String> parts = new ArrayList<>();
        if (!clockSteps.isEmpty()) {
            parts.add(CLOCK);
        }
        if (!callFaults.isEmpty()) {
            parts.add(CALLS);
        }
        events.forEach(event -> parts.add(event.name()));
        return parts;
    }

    /** Returns the same plan without these parts; names that match no part are ignored. */
    public SoakPlan without(Set<String> names) {
        Set<String> allExcludedParts = new TreeSet<>(excludedParts);
        allExcludedParts.addAll(names);
        List<PlannedEvent> remaining =
                events.stream().filter(event -> !names.contains(event.name())).toList();
        boolean excludesCalls = names.contains(CALLS);
        return new SoakPlan(
                seed,
                quietSeconds,
                seconds,
                remaining,
                names.contains(CLOCK) ? "" : clockSteps,
                excludesCalls ? "" : callFaults,
                !excludesCalls && breaksConnections,
                allExcludedParts);
    }

    /** Formats the plan as one line, with the name of each part. */
    @Override
    public String toString() {
        List<String> printed = new ArrayList<>();
        if (!clockSteps.isEmpty()) {
            printed.add(CLOCK + " " + clockSteps);
        }
        if (!callFaults.isEmpty()) {
            printed.add(CALLS + " " + callFaults);
        }
        events.forEach(event -> printed.add(event.toString()));
        if (!excludedParts.isEmpty()) {
            printed.add("left out: " + String.join(" ", excludedParts));
        }
        return String.join(", ", printed);
    }
}
