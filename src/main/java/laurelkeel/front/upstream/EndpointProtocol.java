package laurelkeel.front.upstream;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.wire.HttpResponse;

/** Interprets endpoint responses for one protocol. Thread-safe; called on I/O threads. */
public interface EndpointProtocol {
    /** Converts a complete HTTP response to an endpoint response. */
    EndpointResponse parseResponse(HttpResponse response);

    /** Returns the outcome of an attempt whose response is not valid HTTP or is too large. */
    AttemptOutcome unreadableOutcome();
}
