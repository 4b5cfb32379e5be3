package laurelkeel.front.upstream;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.wire.HttpResponse;

/** What one protocol's machines mean. Called on any thread. */
public interface EndpointProtocol {
    EndpointResponse parseResponse(HttpResponse answer);

    /** What an answer counts as that cannot be read. */
    AttemptOutcome unreadableOutcome();
}
