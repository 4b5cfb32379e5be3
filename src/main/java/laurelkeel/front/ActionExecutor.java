package laurelkeel.front;

import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.eventloop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out the actions of the decider. Not thread-safe; used on the event loop's thread. */
final class ActionExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(ActionExecutor.class);
    private static final Logger DECISION_LOG = LoggerFactory.getLogger("laurelkeel.decisions");

    /**
     * A timer is never due in the turn that started it; otherwise a decider could keep the loop in that turn for ever.
     */
    private static final long MIN_TIMER_TICKS = 1;

    private final NodeComponents components;
    private final EventLoop loop;
    private final NodeServices services;
    private final AcceptedRequestTable requests;
    private final AttemptDispatcher attempts;
    private final ResponseWriter responses;
    private final HealthChecker healthChecker;

    ActionExecutor(
            NodeComponents components,
            AcceptedRequestTable requests,
            AttemptDispatcher attempts,
            ResponseWriter responses,
            HealthChecker healthChecker) {
        this.components = components;
        this.requests = requests;
        this.attempts = attempts;
        this.responses = responses;
        this.healthChecker = healthChecker;
        loop = components.loop();
        services = components.services();
    }

    /**
     * Carries out an action. An external fault (of a socket, a control-plane source or a name resolution) is no failure
     * of the decider and must not end the node: each component reports it as an outcome or an event. The catch clause
     * is the last resort for a component that throws instead; the {@link FinalAnswerGuard} then answers the request.
     */
    void execute(Action action) {
        try {
            dispatch(action);
        } catch (RuntimeException e) {
            LOG.error("action could not be carried out: {}", action, e);
        }
    }

    private void dispatch(Action action) {
        if (action instanceof Action.SendAttempt send) {
            attempts.send(send);
        } else if (action instanceof Action.CancelAttempt cancel) {
            attempts.cancel(cancel);
        } else if (action instanceof Action.RejectRequest reject) {
            reject(reject);
        } else if (action instanceof Action.FailRequest fail) {
            fail(fail);
        } else if (action instanceof Action.StartTimer timer) {
            startTimer(timer);
        } else if (action instanceof Action.SendHealthCheck healthCheck) {
            healthChecker.check(healthCheck.endpointId());
        } else if (action instanceof Action.CloseIdleConnections close) {
            components.pools().closeIdle(services.addressOf(close.endpointId()).key());
        } else if (action instanceof Action.SendGossip gossip) {
            services.sendGossip(gossip.toNode(), gossip.payload());
        } else if (action instanceof Action.WatchEndpoints watch) {
            services.watchEndpoints(watch.enabled());
        } else if (action instanceof Action.FetchEndpoints) {
            services.fetchEndpoints();
        } else if (action instanceof Action.CastVote vote) {
            castVote(vote);
        } else if (action instanceof Action.WriteLog log) {
            DECISION_LOG.info("{}", log.message());
        } else {
            throw new IllegalStateException("unsupported action: " + action);
        }
    }

    private void reject(Action.RejectRequest action) {
        boolean sendsRetryAfter = components.settings().capabilities().retryAfter();
        responses.answer(
                requests.get(action.requestId()),
                RequestOutcome.REJECTED,
                components
                        .protocol()
                        .rejected(
                                sendsRetryAfter ? action.retryAfterTicks() : 0,
                                "shed: nothing was done, or a repeat does no harm"));
    }

    private void fail(Action.FailRequest action) {
        responses.answer(
                requests.get(action.requestId()),
                RequestOutcome.FAILED,
                components.protocol().failed(false, "errored: the req may have run"));
    }

    private void startTimer(Action.StartTimer action) {
        loop.schedule(
                Math.max(action.dueAtTicks(), loop.nowTicks() + MIN_TIMER_TICKS),
                () -> components.inbox().add(new Event.TimerFired(action.timerId())));
    }

    /** A vote that cannot be sent is reported as failed, like one whose connection failed. */
    private void castVote(Action.CastVote vote) {
        try {
            services.castVote(vote);
        } catch (RuntimeException e) {
            LOG.error("vote on build {} could not be sent", vote.build(), e);
            components.inbox().add(RolloutUpdates.voteFailed(0));
        }
    }
}
