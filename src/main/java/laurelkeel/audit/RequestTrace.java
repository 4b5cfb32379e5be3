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

/** One request of a client with all that was recorded of it, each list by time. Filled by {@link RecordedTraffic}. */
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

    /** The first response; null where there was none. */
    @Nullable
    ResponseReceived firstResponse() {
        return responses.isEmpty() ? null : responses.get(0);
    }

    /** Whether an attempt may have had an effect, as far as its server had stated by a moment. */
    boolean mayHaveRun(AttemptArrived attempt, long byTicks) {
        AttemptRejected rejection = rejections.get(attempt.attemptNumber());
        return rejection == null
                || rejection.timeTicks() > byTicks
                || !rejection.endpointId().equals(attempt.endpointId());
    }

    /** The first attempt that may have had an effect by a moment; null where none may. */
    @Nullable
    AttemptArrived firstThatMayHaveRun(List<AttemptArrived> among, long byTicks) {
        for (AttemptArrived attempt : among) {
            if (mayHaveRun(attempt, byTicks)) {
                return attempt;
            }
        }
        return null;
    }
}
