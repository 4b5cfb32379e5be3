package laurelkeel.testbed;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The rollouts that the service knows, by build. Not thread-safe; used on the service's loop. */
final class RolloutRegistry {
    private final TreeMap<Integer, Rollout> rollouts = new TreeMap<>();

    void add(Rollout rollout) {
        rollouts.put(rollout.build.number(), rollout);
    }

    void remove(Rollout rollout) {
        rollouts.remove(rollout.build.number(), rollout);
    }

    @Nullable
    Rollout get(int build) {
        return rollouts.get(build);
    }

    /** Returns a copy of all rollouts, in the order of their builds. */
    List<Rollout> all() {
        return List.copyOf(rollouts.values());
    }

    List<Rollout> canaries() {
        return rollouts.values().stream().filter(Rollout::isCanary).toList();
    }

    /** Returns the number of rollouts that are neither rolled back nor released. */
    long unfinishedCount() {
        return rollouts.values().stream().filter(rollout -> !rollout.hasEnded()).count();
    }

    /** Returns the known build with the next lower number; a healthy one if there is none. */
    BuildProfile buildBefore(int build) {
        Map.Entry<Integer, Rollout> previous = rollouts.lowerEntry(build);
        return previous == null ? BuildProfile.healthy(build - 1) : previous.getValue().build;
    }
}
