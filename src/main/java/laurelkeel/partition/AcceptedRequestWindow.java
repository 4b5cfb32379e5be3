package laurelkeel.partition;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Reqs taken in the exposure's window, by scope. A lane's decider counts those of its lane; what its release may
 * expose is a part of all. Telling it a cap that is higher by all to own makes its product the one that is meant.
 */
final class AcceptedRequestWindow {
    /** The decider's own edge of a window, which makes it count fewer reqs, and more tries, than the window holds. */
    private static final long EDGE = 60;

    private final long window;
    private final boolean perRoute;
    private final List<ArrayDeque<Long>> at = new ArrayList<>();

    /** @param tries what is counted is to be bounded, by reqs that are not */
    AcceptedRequestWindow(int routes, long window, boolean perRoute, boolean tries) {
        this.window = tries ? window + EDGE : window - EDGE;
        this.perRoute = perRoute;
        for (int i = 0; i < (perRoute ? routes : 1); i++) {
            at.add(new ArrayDeque<>());
        }
    }

    void add(int route, long now) {
        int scope = perRoute ? route : 0;
        at.get(scope).addLast(now);
        // here too: a lane that is alone is never asked for its part, and would keep a moment a req for ever
        count(scope, now);
    }

    int held() {
        return at.stream().mapToInt(ArrayDeque::size).sum();
    }

    private int count(int scope, long now) {
        ArrayDeque<Long> times = at.get(scope);
        while (!times.isEmpty() && times.peekFirst() < now - window) {
            times.pollFirst();
        }
        return times.size();
    }

    /** How many there were, where a req of this route counts. */
    int of(int route, long now) {
        return count(perRoute ? route : 0, now);
    }

    /** How many times a lane's reqs all reqs are, in the scope where that is least; at most the given. */
    static double times(AcceptedRequestWindow all, AcceptedRequestWindow own, long now, double most) {
        double least = most;
        for (int s = 0; s < all.at.size(); s++) {
            int mine = own.count(s, now);
            if (mine > 0) {
                least = Math.min(least, all.count(s, now) / (double) mine);
            }
        }
        return Math.max(1, least);
    }
}
