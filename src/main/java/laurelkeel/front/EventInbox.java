package laurelkeel.front;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event;

/**
 * What has been learned since the last turn and the decision module has not been told. It is there before the front and
 * before all sources, so none of them can speak to something that is not there yet. On the front's thread, or before that
 * thread has started.
 */
public final class EventInbox {
    private List<Event> events = new ArrayList<>();
    private List<String> leftPlaces = new ArrayList<>();

    /** Hands an event to the decision module in the present turn. */
    public void add(Event event) {
        events.add(event);
    }

    /** Nothing new goes on idle connections to this place: its machine is not there any more. */
    public void retireAddress(String place) {
        leftPlaces.add(place);
    }

    boolean isEmpty() {
        return events.isEmpty() && leftPlaces.isEmpty();
    }

    /** The events in their order; each is handed over once. */
    List<Event> takeEvents() {
        List<Event> taken = events;
        events = new ArrayList<>();
        return taken;
    }

    /** The places that were left; each is handed over once. */
    List<String> takeRetiredAddresses() {
        List<String> taken = leftPlaces;
        leftPlaces = new ArrayList<>();
        return taken;
    }
}
