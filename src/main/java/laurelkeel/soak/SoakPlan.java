package laurelkeel.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * What happens in one run and when: drawn from its seed ahead, so that a seed gives the same plan however threads take
 * their turns. Parts of it may be left out, by name, to find those that a failure needs.
 *
 * @param seed of all draws
 * @param quietSeconds how long nothing happens at first, but for what clients send
 * @param seconds how long events come after that
 * @param events in the order of their time
 * @param clockSteps steps of the nodes' wall clocks, as faults.c takes them; empty where there are none
 * @param callFaults system calls that fail, as faults.c takes them; empty where there are none
 * @param breaksReads whether connections break under their requests, as failing reads show them
 * @param excludedParts names of the parts that were drawn and do not happen
 */
public record SoakPlan(
        long seed,
        int quietSeconds,
        int seconds,
        List<PlannedEvent> events,
        String clockSteps,
        String callFaults,
        boolean breaksReads,
        Set<String> excludedParts) {
    static final int NODES = 3;
    /** The name of the part that steps the clocks. */
    public static final String CLOCK = "clock";
    /** The name of the part that lets system calls fail. */
    public static final String CALLS = "calls";

    private static final List<SoakEvent> EVENTS = List.of(SoakEvent.values());
    /** One run of so many has steps of the clock, and one of so many has calls that fail. */
    private static final int FAULT_INTERVAL = 3;

    private static final double FIRST_EVENT_SECONDS = 0.5;
    private static final double MIN_PAUSE_SECONDS = 0.2;
    private static final double MAX_PAUSE_SECONDS = 2.2;

    /**
     * Draws a run.
     *
     * @param quietSeconds how long nothing happens at first
     * @param seconds how long events come after that; at least 1
     */
    public static SoakPlan generate(long seed, int quietSeconds, int seconds) {
        Random random = new Random(seed);
        String clockSteps = random.nextInt(FAULT_INTERVAL) == 0 ? SystemFaults.drawClockSteps(random, seconds) : "";
        SystemFaults.CallFaults faults = random.nextInt(FAULT_INTERVAL) == 0
                ? SystemFaults.drawCallFaults(random)
                : SystemFaults.CallFaults.NONE;
        List<PlannedEvent> events = drawEvents(random, quietSeconds, seconds);
        return new SoakPlan(
                seed, quietSeconds, seconds, events, clockSteps, faults.text(), faults.breaksConnections(), Set.of());
    }

    private static List<PlannedEvent> drawEvents(Random random, int quietSeconds, int seconds) {
        List<PlannedEvent> events = new ArrayList<>();
        double atSeconds = quietSeconds + FIRST_EVENT_SECONDS;
        while (atSeconds < quietSeconds + seconds) {
            SoakEvent event = EVENTS.get(random.nextInt(EVENTS.size()));
            events.add(new PlannedEvent(events.size(), atSeconds, event, random.nextInt(NODES), random.nextLong()));
            atSeconds += MIN_PAUSE_SECONDS + random.nextDouble() * (MAX_PAUSE_SECONDS - MIN_PAUSE_SECONDS);
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
        events.forEach(event -> parts.add(event.name()));
        return parts;
    }

    /** The same plan without these parts; names of none are ignored. */
    public SoakPlan without(Set<String> names) {
        Set<String> allExcludedParts = new TreeSet<>(excludedParts);
        allExcludedParts.addAll(names);
        List<PlannedEvent> remaining =
                events.stream().filter(event -> !names.contains(event.name())).toList();
        boolean hasNoCalls = names.contains(CALLS);
        return new SoakPlan(
                seed,
                quietSeconds,
                seconds,
                remaining,
                names.contains(CLOCK) ? "" : clockSteps,
                hasNoCalls ? "" : callFaults,
                !hasNoCalls && breaksReads,
                allExcludedParts);
    }

    /** One line, with the name of each part. */
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
