package laurelkeel.audit;

import java.util.List;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.ClientClosed;
import laurelkeel.records.TrafficRecord.ConnectionBroken;
import laurelkeel.records.TrafficRecord.RequestSent;
import laurelkeel.records.TrafficRecord.ResponseReceived;
import laurelkeel.records.TrafficRecord.UnexpectedBytes;

/** Rule 1: each request gets one final response before its deadline, and no attempt is sent after it. */
final class SingleAnswerRule extends RuleChecker {
    /** How long the client may take to read a response that was sent before the deadline. */
    private static final long READ_TOLERANCE_TICKS = 200;
    /** How long a node may take to notice that a client has closed its connection, and to react. */
    private static final long CLOSE_TOLERANCE_TICKS = 2_000;

    private long unansweredCount;

    SingleAnswerRule() {
        super(1, "one final answer");
    }

    /** Returns the number of requests that required a response and received none. */
    long unansweredCount() {
        return unansweredCount;
    }

    @Override
    void check(RecordedTraffic traffic) {
        for (RequestTrace request : traffic.requests()) {
            checkUnexpectedBytes(request);
            ResponseReceived first = request.firstResponse();
            if (first == null) {
                checkUnanswered(traffic, request);
            } else {
                checkResponses(request, first);
            }
            checkLateAttempts(request);
        }
    }

    private void checkUnexpectedBytes(RequestTrace request) {
        for (UnexpectedBytes bytes : request.unexpectedBytes) {
            addViolation(
                    bytes.timeTicks(),
                    request.sent.requestId(),
                    "after the response front " + request.sent.nodeIndex() + " sent unexpected bytes: "
                            + bytes.description());
        }
    }

    private void checkResponses(RequestTrace request, ResponseReceived first) {
        RequestSent sent = request.sent;
        for (ResponseReceived second : request.responses.subList(1, request.responses.size())) {
            addViolation(
                    second.timeTicks(),
                    sent.requestId(),
                    "second response, " + second.outcome().storedName() + ", "
                            + formatMillis(second.timeTicks() - first.timeTicks()) + " after the first, "
                            + first.outcome().storedName());
        }
        long lateTicks = first.timeTicks() - sent.deadlineTicks();
        long allowedTicks = Math.max(1, sent.deadlineTicks() - sent.timeTicks());
        countChecked(
                (first.timeTicks() - sent.timeTicks()) / (double) allowedTicks,
                sent.requestId() + " answered " + formatMillis(-lateTicks) + " before its client leaves");
        if (lateTicks > READ_TOLERANCE_TICKS) {
            addViolation(
                    first.timeTicks(), sent.requestId(), "answered " + formatMillis(lateTicks) + " after its deadline");
        }
    }

    private void checkUnanswered(RecordedTraffic traffic, RequestTrace request) {
        RequestSent sent = request.sent;
        ClientClosed closed = request.clientClosed;
        ConnectionBroken broken = request.connectionBroken;
        if (closed != null && closed.beforeDeadline()) {
            countChecked();
        } else if (broken != null) {
            boolean wasKilled = traffic.nodeKilledNear(sent.nodeIndex(), broken.timeTicks());
            boolean wasNeverAccepted =
                    request.attempts.isEmpty() && traffic.nodeStoppedNear(sent.nodeIndex(), broken.timeTicks());
            if (!wasKilled && !wasNeverAccepted) {
                unansweredCount++;
                addViolation(
                        broken.timeTicks(),
                        sent.requestId(),
                        "front " + sent.nodeIndex() + " closed the connection without a response");
            }
        } else {
            unansweredCount++;
            addViolation(
                    sent.deadlineTicks(),
                    sent.requestId(),
                    "no response within its timeout of " + formatMillis(sent.deadlineTicks() - sent.timeTicks()));
        }
    }

    private void checkLateAttempts(RequestTrace request) {
        List<ResponseReceived> responses = request.responses;
        long endTicks = Long.MAX_VALUE;
        if (!responses.isEmpty()) {
            endTicks = responses.get(0).timeTicks() + CLOCK_TOLERANCE_TICKS;
        } else if (request.clientClosed != null) {
            endTicks = request.clientClosed.timeTicks() + CLOSE_TOLERANCE_TICKS;
        }
        for (AttemptArrived attempt : request.attempts) {
            if (attempt.timeTicks() > endTicks) {
                addViolation(
                        attempt.timeTicks(),
                        request.sent.requestId(),
                        "attempt " + attempt.attemptNumber() + " reached " + attempt.endpointId() + " "
                                + formatMillis(attempt.timeTicks() - endTicks) + " after the request had ended");
            }
        }
    }
}
