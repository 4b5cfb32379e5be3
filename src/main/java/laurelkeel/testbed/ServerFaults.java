package laurelkeel.testbed;

import java.util.EnumMap;
import java.util.Map;

/** The faults of one simulated server. Not thread-safe. */
final class ServerFaults {
    private final Map<ServerFault, Long> endTicks = new EnumMap<>(ServerFault.class);
    private double slowFactor = 1;

    /** @param factor factor on the duration of work; used by {@link ServerFault#SLOW} only */
    void start(ServerFault fault, long untilTicks, double factor) {
        endTicks.put(fault, untilTicks);
        if (fault == ServerFault.SLOW) {
            slowFactor = factor;
        }
    }

    boolean isActive(ServerFault fault, long nowTicks) {
        return endTicks.getOrDefault(fault, Long.MIN_VALUE) > nowTicks;
    }

    /** Returns the current factor on the duration of work. */
    double slowFactor(long nowTicks) {
        return isActive(ServerFault.SLOW, nowTicks) ? slowFactor : 1;
    }
}
