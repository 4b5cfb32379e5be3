package laurelkeel.front;

import java.util.Map;
import java.util.TreeMap;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the work in flight once a second: the active attempts at each endpoint next to those on its connections. The two
 * must agree.
 */
final class TraceLogger {
    private static final Logger LOG = LoggerFactory.getLogger(TraceLogger.class);
    private static final long INTERVAL_TICKS = Ticks.PER_SECOND;

    private final NodeComponents components;
    private final EventLoop loop;
    private final AcceptedRequestTable requests;

    TraceLogger(NodeComponents components, AcceptedRequestTable requests) {
        this.components = components;
        this.requests = requests;
        loop = components.loop();
    }

    /** Starts logging with the loop's first turn. Thread-safe. */
    void start() {
        loop.post(this::logRepeatedly);
    }

    private void logRepeatedly() {
        LOG.info(
                "trace: active requests {}, client connections {}, endpoint connections {}, queued tasks {}, "
                        + "attempts in flight {}, sockets {}",
                requests.size(),
                components.ingress().openConnections(),
                components.pools().openConnections(),
                loop.queuedTasks(),
                attemptsInFlight(),
                components.pools().describe());
        loop.schedule(loop.nowTicks() + INTERVAL_TICKS, this::logRepeatedly);
    }

    private Map<String, Integer> attemptsInFlight() {
        Map<String, Integer> inFlight = new TreeMap<>();
        for (AcceptedRequest request : requests.snapshot()) {
            for (DispatchedAttempt attempt : request.attempts()) {
                if (!attempt.isEnded()) {
                    String address = components
                            .services()
                            .addressOf(attempt.endpointId())
                            .key();
                    inFlight.merge(address, 1, Integer::sum);
                }
            }
        }
        return inFlight;
    }
}
