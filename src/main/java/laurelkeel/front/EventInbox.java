package laurelkeel.front;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event;

/**
 * The events for the decider and the addresses whose connections are to be closed, both collected until the end of the
 * present turn of the event loop. It is created before the node and all event sources, so that each of them can add
 * events from its start. Not thread-safe; used on the event loop's thread, or before that thread has started.
 */
public final class EventInbox {
    private List<Event> events = new ArrayList<>();
    private List<String> retiredAddresses = new ArrayList<>();

    /** Adds an event, which the decider gets at the end of the present turn. */
    public void add(Event event) {
        events.add(event);
    }

    /** Closes the idle connections to an address at the end of the present turn, since its endpoint is gone. */
    public void retireAddress(String address) {
        retiredAddresses.add(address);
    }

    boolean isEmpty() {
        return events.isEmpty() && retiredAddresses.isEmpty();
    }

    /** Removes and returns the events, in the order in which they were added. */
    List<Event> takeEvents() {
        List<Event> taken = events;
        events = new ArrayList<>();
        return taken;
    }

    /** Removes and returns the retired addresses, in the order in which they were added. */
    List<String> takeRetiredAddresses() {
        List<String> taken = retiredAddresses;
        retiredAddresses = new ArrayList<>();
        return taken;
    }
}
