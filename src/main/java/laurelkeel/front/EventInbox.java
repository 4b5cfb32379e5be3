package laurelkeel.front;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event;

/**
 * What has been learned since the last turn and the decider has not seen. It exists before the node and before all
 * sources, so none of them can report to something that is not there yet. Not thread-safe; used on the event loop's
 * thread, or before that thread has started.
 */
public final class EventInbox {
    private List<Event> events = new ArrayList<>();
    private List<String> retiredAddresses = new ArrayList<>();

    /** Hands an event to the decider in the present turn. */
    public void add(Event event) {
        events.add(event);
    }

    /** Closes idle connections to an address in the present turn: its endpoint is not there any more. */
    public void retireAddress(String address) {
        retiredAddresses.add(address);
    }

    boolean isEmpty() {
        return events.isEmpty() && retiredAddresses.isEmpty();
    }

    /** Takes the events out, in their order. */
    List<Event> takeEvents() {
        List<Event> taken = events;
        events = new ArrayList<>();
        return taken;
    }

    /** Takes the retired addresses out, in their order. */
    List<String> takeRetiredAddresses() {
        List<String> taken = retiredAddresses;
        retiredAddresses = new ArrayList<>();
        return taken;
    }
}
