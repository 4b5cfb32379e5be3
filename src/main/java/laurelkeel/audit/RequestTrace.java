package laurelkeel.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.records.TrafficRecord.AttemptAnswered;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.AttemptRejected;
import laurelkeel.records.TrafficRecord.ClientClosed;
import laurelkeel.records.TrafficRecord.ConnectionBroken;
import laurelkeel.records.TrafficRecord.RequestSent;
import laurelkeel.records.TrafficRecord.ResponseReceived;
import laurelkeel.records.TrafficRecord.RoutePolicy;
import laurelkeel.records.TrafficRecord.UnexpectedBytes;
import org.jspecify.annotations.Nullable;

/** One request of a client with all its records, each list ordered by time. Filled by {@link RecordedTraffic}. */
final class RequestTrace {
    final RequestSent sent;
    final RoutePolicy routePolicy;
    final List<ResponseReceived> responses = new ArrayList<>();
    final List<UnexpectedBytes> unexpectedBytes = new ArrayList<>();
    final List<AttemptArrived> attempts = new ArrayList<>();
    /** By attempt number. */
    final Map<Integer, AttemptRejected> rejections = new HashMap<>();
    /** By attempt number. */
    final Map<Integer, AttemptAnswered> answers = new HashMap<>();

    @Nullable
    ConnectionBroken connectionBroken;

    @Nullable
    ClientClosed clientClosed;

    RequestTrace(RequestSent sent, RoutePolicy routePolicy) {
        this.sent = sent;
        this.routePolicy = routePolicy;
    }

    /** Returns the first response; null if there was none. */
    @Nullable
    ResponseReceived firstResponse() {
        return responses.isEmpty() ? null : responses.get(0);
    }

    /** Returns whether an attempt may have run, that is, whether its server had not rejected it by a given time. */
    boolean mayHaveRun(AttemptArrived attempt, long byTicks) {
        AttemptRejected rejection = rejections.get(attempt.attemptNumber());
        return rejection == null
                || rejection.timeTicks() > byTicks
                || !rejection.endpointId().equals(attempt.endpointId());
    }

    /** Returns the first of the given attempts that may have run, as known at a given time; null if there is none. */
    @Nullable
    AttemptArrived firstAttemptThatMayHaveRun(List<AttemptArrived> candidates, long byTicks) {
        for (AttemptArrived attempt : candidates) {
            if (mayHaveRun(attempt, byTicks)) {
                return attempt;
            }
        }
        return null;
    }
}
