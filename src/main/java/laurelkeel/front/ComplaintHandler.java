package laurelkeel.front;

import java.nio.charset.StandardCharsets;
import laurelkeel.api.Event;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;

/**
 * Handles complaints of clients about completed responses, which they identify by the reference in the response's
 * headers. Not thread-safe; used on the event loop's thread.
 */
final class ComplaintHandler {
    /** Number of most recent responses about which clients can complain. */
    private static final int MAX_REFERENCES = 1 << 16;

    private final String incarnation;
    private final EventLoop loop;
    private final EventInbox inbox;
    private final AttributionReporter reporter;
    private final FrontMetrics metrics;
    private final ResponseReferences references = new ResponseReferences(MAX_REFERENCES);

    ComplaintHandler(NodeRuntime runtime, AttributionReporter reporter, FrontMetrics metrics) {
        this.reporter = reporter;
        this.metrics = metrics;
        incarnation = runtime.incarnation();
        loop = runtime.loop();
        inbox = runtime.inbox();
    }

    /** Records the origin of a response, so that the client can complain about it. */
    void onCompleted(long requestNumber, ResponseReferences.Origin origin) {
        references.put(requestNumber, origin);
    }

    /** Answers a complaint, whose body is the response's reference. */
    HttpResponse answer(HttpRequest complaint) {
        String reference = new String(complaint.body(), StandardCharsets.UTF_8).strip();
        ResponseReferences.Origin origin = references.take(AcceptedRequestTable.requestNumber(reference, incarnation));
        if (origin == null) {
            return StandaloneProtocol.plain(
                    404,
                    "no answer of this front has that " + HeaderNames.RESPONSE_REFERENCE
                            + ", or it was too long ago or told before");
        }
        long sentAgoTicks = loop.nowTicks() - origin.sentAtTicks();
        inbox.add(new Event.ComplaintReceived(origin.endpointId(), sentAgoTicks, origin.route()));
        reporter.onComplaint(origin);
        metrics.complaintAccepted();
        return StandaloneProtocol.plain(202, "noted");
    }
}
