package laurelkeel.front.upstream;

import java.util.List;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.LoadReport;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HttpResponse;

/** A protocol in which each readable response completes its attempt and an unreadable one counts as a lost connection. */
final class CompletedOrLost implements EndpointProtocol {
    @Override
    public EndpointResponse parseResponse(HttpResponse response) {
        return new EndpointResponse(
                AttemptOutcome.COMPLETED,
                ForwardedMessage.of(response, List.of()),
                LoadReport.NONE,
                response.closesConnection());
    }

    @Override
    public AttemptOutcome unreadableOutcome() {
        return AttemptOutcome.CONNECTION_LOST;
    }
}
