package laurelkeel.testbed;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** All rollouts that the service knows, by build. Not thread-safe; used on the service's loop. */
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

    /** By build; a copy. */
    List<Rollout> all() {
        return List.copyOf(rollouts.values());
    }

    List<Rollout> canaries() {
        return rollouts.values().stream().filter(Rollout::isCanary).toList();
    }

    /** Rollouts whose build is neither off the fleet nor on all of it. */
    long unfinishedCount() {
        return rollouts.values().stream().filter(rollout -> !rollout.hasEnded()).count();
    }

    /** The build before another; a healthy one where none is known. */
    BuildProfile buildBefore(int build) {
        Map.Entry<Integer, Rollout> previous = rollouts.lowerEntry(build);
        return previous == null ? BuildProfile.healthy(build - 1) : previous.getValue().build;
    }
}
