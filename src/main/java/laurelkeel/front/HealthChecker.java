package laurelkeel.front;

import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.LoadReport;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.upstream.EndpointResponse;
import laurelkeel.front.upstream.Exchange;
import org.jspecify.annotations.Nullable;

/** Sends health checks to endpoints and reports their results. Not thread-safe; used on the event loop's thread. */
final class HealthChecker {
    private final NodeComponents components;
    private final EventLoop loop;
    private final long timeoutTicks;

    HealthChecker(NodeComponents components, long timeoutTicks) {
        this.components = components;
        this.timeoutTicks = timeoutTicks;
        loop = components.loop();
    }

    /** Starts a health check of an endpoint; exactly one {@link Event.HealthCheckEnded} follows. */
    void check(String endpointId) {
        HealthCheck check = new HealthCheck(endpointId, loop.nowTicks());
        Exchange exchange = components
                .pools()
                .startExchange(
                        components.services().addressOf(endpointId),
                        () -> components.protocol().healthCheckRequest(components.messageBuilder(), endpointId),
                        check::onResponse);
        loop.schedule(loop.nowTicks() + timeoutTicks, () -> check.onTimeout(exchange));
    }

    private final class HealthCheck {
        private final String endpointId;
        private final long startedAtTicks;
        private boolean ended;

        HealthCheck(String endpointId, long startedAtTicks) {
            this.endpointId = endpointId;
            this.startedAtTicks = startedAtTicks;
        }

        void onResponse(AttemptOutcome outcome, @Nullable EndpointResponse response) {
            ended = true;
            components.pools().releaseBody(response);
            report(outcome, response == null ? LoadReport.NONE : response.loadReport());
        }

        void onTimeout(Exchange exchange) {
            if (!ended) {
                report(exchange.cancel(AttemptOutcome.TIMED_OUT), LoadReport.NONE);
            }
        }

        private void report(AttemptOutcome outcome, LoadReport loadReport) {
            components
                    .inbox()
                    .add(new Event.HealthCheckEnded(endpointId, outcome, loop.nowTicks() - startedAtTicks, loadReport));
        }
    }
}
