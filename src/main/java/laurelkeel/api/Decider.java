package laurelkeel.api;

import java.util.List;

/**
 * Takes all decisions of one front node: what it has learned at a moment goes in, what it is to do at that moment comes
 * out. Implementations are deterministic, use no clock or random source of their own, and are called by one thread at a
 * time.
 */
public interface Decider {
    /**
     * Decides at one moment.
     *
     * @param nowTicks the moment, on a clock that only advances
     * @param events all that was learned since the last call, in order of arrival
     * @return the actions to carry out, in order
     */
    List<Action> decide(long nowTicks, List<Event> events);

    /** Creates the decider of a front node at its start. */
    interface Factory {
        /**
         * Creates a decider.
         *
         * @param seed of the node's own random draws
         */
        Decider create(Settings settings, long seed);
    }
}
