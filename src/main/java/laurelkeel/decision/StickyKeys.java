package laurelkeel.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Behind which build a key may not go back, where keys move one way. A build binds a key by its answer; and while a try is
 * out it may have answered already, for an answer can lie unread on a connection that has fallen silent.
 */
final class StickyKeys {
    /** No build binds the key. */
    static final int NONE = -1;

    private final Map<String, Integer> answered = new HashMap<>();
    /** Tries out, by key and build. */
    private final Map<String, TreeMap<Integer, Integer>> awaited = new HashMap<>();

    /** A try goes to a build ahead of the earlier one. */
    void sent(String key, int build) {
        awaited.computeIfAbsent(key, k -> new TreeMap<>()).merge(build, 1, Integer::sum);
    }

    /** A try has ended; one of which sent was not told is passed over. */
    void ended(String key, int build) {
        TreeMap<Integer, Integer> tries = awaited.get(key);
        if (tries == null) {
            return;
        }
        tries.computeIfPresent(build, (b, count) -> count > 1 ? count - 1 : null);
        if (tries.isEmpty()) {
            awaited.remove(key);
        }
    }

    /** The build has answered the key, whether or not that answer could be read. */
    void answered(String key, int build) {
        answered.merge(key, build, Math::max);
    }

    /** The build behind which the key may not go back; NONE where there is none. */
    int of(String key) {
        TreeMap<Integer, Integer> tries = awaited.get(key);
        int out = tries == null ? NONE : tries.lastKey();
        return Math.max(out, answered.getOrDefault(key, NONE));
    }

    /** Keys that a build has answered. */
    int size() {
        return answered.size();
    }

    /** The build binds no key any more. */
    void sentBack(int build) {
        answered.values().removeIf(by -> by == build);
        awaited.values().forEach(tries -> tries.remove(build));
        awaited.values().removeIf(TreeMap::isEmpty);
    }

    /** Nothing goes below a released build again, so keys of it and of earlier ones need no pins. */
    void released(int build) {
        answered.values().removeIf(by -> by <= build);
        awaited.values().forEach(tries -> tries.headMap(build, true).clear());
        awaited.values().removeIf(TreeMap::isEmpty);
    }
}
