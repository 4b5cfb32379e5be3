package laurelkeel.front.upstream;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.wire.HttpResponse;

/** Interprets the responses of one protocol's endpoints. Thread-safe; called on I/O threads. */
public interface EndpointProtocol {
    /** Interprets a complete response. */
    EndpointResponse parseResponse(HttpResponse response);

    /** Returns the outcome of an attempt whose response is not valid HTTP or is too large. */
    AttemptOutcome unreadableOutcome();
}
