package laurelkeel.partition;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;

/** One decider with the reqs, machines and news that are its own. */
final class TrafficPartition {
    final int id;
    final Decider decider;
    final AcceptedRequestWindow taken;
    /** The release it is for; -1 where it has none. */
    int build;
    /** The build that its other reqs go to; -1 for whatever the decider finds in the list. */
    int floor = -1;
    /** The latest build that it has been told is released. */
    int knows = -1;
    /** Builds that it has been told are sent back; of others it would take one for a base. */
    final Set<Integer> back = new HashSet<>();

    boolean closing;
    double toldCap = Double.NaN;
    /** Ids of machines it has been shown. */
    Set<String> shown = new HashSet<>();

    List<Event> events = new ArrayList<>();
    private List<Event> spare = new ArrayList<>();
    int held;

    TrafficPartition(int id, int build, Decider decider, AcceptedRequestWindow taken) {
        this.id = id;
        this.build = build;
        this.decider = decider;
        this.taken = taken;
    }

    /** All events so far; new ones, also those that its actions bring, wait for its next turn. */
    List<Event> turn() {
        List<Event> now = events;
        spare.clear();
        events = spare;
        spare = now;
        return now;
    }
}
