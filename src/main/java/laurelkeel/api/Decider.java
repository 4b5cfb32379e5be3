package laurelkeel.api;

import java.util.List;

/** One front's decisions: all it has learned at a moment goes in, all it does at that moment comes out. */
public interface Decider {
    /** @param now tenths of a millisecond on a clock that only advances */
    List<Action> decide(long now, List<Event> events);

    /** Makes the decider of one front, at its start, from its settings and its own seed for chance. */
    interface Maker {
        Decider make(Settings settings, long seed);
    }
}
