package laurelkeel.front;

import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.ClientState;
import laurelkeel.front.ingress.EnumCounts;
import laurelkeel.front.upstream.EndpointResponse;
import laurelkeel.front.upstream.Exchange;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and cancels attempts, and reports the outcome of each to the decider. Not thread-safe; called on the event
 * loop's thread.
 */
final class AttemptDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptDispatcher.class);

    private final NodeComponents components;
    private final EventLoop loop;
    private final AcceptedRequestTable requests;
    private final RequestTotals totals;
    private final EnumCounts<ClientState> attemptsByClientState;
    private final FinalAnswerGuard guard;
    private final ResponseWriter responses;

    AttemptDispatcher(
            NodeComponents components,
            AcceptedRequestTable requests,
            RequestTotals totals,
            EnumCounts<ClientState> attemptsByClientState,
            FinalAnswerGuard guard,
            ResponseWriter responses) {
        this.components = components;
        this.requests = requests;
        this.totals = totals;
        this.attemptsByClientState = attemptsByClientState;
        this.guard = guard;
        this.responses = responses;
        loop = components.loop();
    }

    /** Carries out {@link Action.SendAttempt}; an attempt that is not permitted or cannot start ends as NOT_SENT. */
    void send(Action.SendAttempt action) {
        AcceptedRequest request = requests.get(action.requestId());
        if (request == null) {
            LOG.error("the decider sent an attempt of request {}, which is not active", action.requestId());
            return;
        }
        DispatchedAttempt attempt = request.addAttempt(action.endpointId(), loop.nowTicks());
        int maxAttempts = components.settings().capabilities().maxAttempts();
        if (!guard.permitsAttempt(request) || request.attempts().size() > maxAttempts) {
            endUnsent(request, attempt);
            return;
        }
        ClientState client = request.connection().clientState();
        attemptsByClientState.increment(client);
        if (client != ClientState.CONNECTED) {
            withhold(request, attempt, client);
            return;
        }
        components.services().onAttemptStarted(request.clientRequest().route());
        start(request, attempt, attemptDeadline(request, action.timeoutTicks()));
    }

    /**
     * Ends an attempt that may not be sent, because the client is not known to be connected, and its request, unless an earlier
     * attempt may still serve that.
     */
    private void withhold(AcceptedRequest request, DispatchedAttempt attempt, ClientState client) {
        LOG.info(
                "request {} ({}) attempt {} on connection {} is not sent: client {}, input unread for {} ms",
                request.id(),
                request.clientRequest().clientRequestId(),
                attempt.number(),
                request.connection().id(),
                client,
                request.connection().unreadMillis());
        if (client == ClientState.ENDED) {
            responses.clientDisconnected(request);
        } else if (!request.hasAttemptInFlight(attempt)) {
            responses.failUnread(request);
        }
        endUnsent(request, attempt);
    }

    private long attemptDeadline(AcceptedRequest request, long timeoutTicks) {
        if (timeoutTicks == 0) {
            return request.deadlineTicks();
        }
        return Math.min(request.deadlineTicks(), loop.nowTicks() + Math.max(0, timeoutTicks));
    }

    private void start(AcceptedRequest request, DispatchedAttempt attempt, long deadlineTicks) {
        Exchange exchange;
        try {
            exchange = components
                    .pools()
                    .startExchange(
                            components.services().addressOf(attempt.endpointId()),
                            new AttemptMessage(components, request, attempt, deadlineTicks),
                            (outcome, response) -> onEnded(request, attempt, outcome, response));
            attempt.setExchange(exchange);
        } catch (RuntimeException e) {
            // no byte has been sent: passing the message to a connection is the last step of startExchange
            LOG.error(
                    "request {} attempt {} at {} could not be started",
                    request.id(),
                    attempt.number(),
                    attempt.endpointId(),
                    e);
            endUnsent(request, attempt);
            return;
        }
        attempt.setTimeout(loop.schedule(
                deadlineTicks, () -> onEnded(request, attempt, exchange.cancel(AttemptOutcome.TIMED_OUT), null)));
    }

    private void endUnsent(AcceptedRequest request, DispatchedAttempt attempt) {
        attempt.end();
        components.inbox().add(endedEvent(request, attempt, AttemptOutcome.NOT_SENT, LoadReport.NONE));
        responses.removeIfFinished(request);
    }

    /** Carries out {@link Action.CancelAttempt}; ignored if the attempt is unknown or has ended. */
    void cancel(Action.CancelAttempt action) {
        AcceptedRequest request = requests.get(action.requestId());
        if (request == null || action.attempt() >= request.attempts().size()) {
            return;
        }
        DispatchedAttempt attempt = request.attempts().get(action.attempt());
        if (!attempt.isEnded()) {
            onEnded(request, attempt, attempt.cancel(AttemptOutcome.CANCELLED), null);
        }
    }

    private void onEnded(
            AcceptedRequest request,
            DispatchedAttempt attempt,
            AttemptOutcome outcome,
            @Nullable EndpointResponse response) {
        if (attempt.isEnded()) {
            return;
        }
        attempt.end();
        components
                .services()
                .onAttemptEnded(attempt.endpointId(), attempt.startedAtTicks(), request.clientRequest(), outcome);
        totals.attemptEnded(outcome);
        logUnlessCompleted(request, attempt, outcome);
        if (outcome == AttemptOutcome.COMPLETED && response != null && !request.isAnswered()) {
            components
                    .services()
                    .onCompleted(
                            request.number(), attempt.endpointId(), attempt.startedAtTicks(), request.clientRequest());
            responses.forward(request, response);
        } else {
            components.pools().releaseBody(response);
        }
        LoadReport loadReport = response == null ? LoadReport.NONE : response.loadReport();
        components.inbox().add(endedEvent(request, attempt, outcome, loadReport));
        responses.removeIfFinished(request);
    }

    private void logUnlessCompleted(AcceptedRequest request, DispatchedAttempt attempt, AttemptOutcome outcome) {
        if (outcome != AttemptOutcome.COMPLETED) {
            LOG.info(
                    "request {} ({}) attempt {} at {}: {} after {} ms",
                    request.id(),
                    request.clientRequest().clientRequestId(),
                    attempt.number(),
                    attempt.endpointId(),
                    outcome,
                    (loop.nowTicks() - attempt.startedAtTicks()) / (double) Ticks.PER_MILLISECOND);
        }
    }

    private Event.AttemptEnded endedEvent(
            AcceptedRequest request, DispatchedAttempt attempt, AttemptOutcome outcome, LoadReport loadReport) {
        return new Event.AttemptEnded(
                request.id(),
                attempt.number(),
                attempt.endpointId(),
                outcome,
                loop.nowTicks() - attempt.startedAtTicks(),
                request.isAnswered(),
                loadReport);
    }
}
