package laurelkeel.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.EventInbox;
import laurelkeel.front.FrontStatus;
import laurelkeel.front.NodeRuntime;
import laurelkeel.front.NodeServices;
import laurelkeel.front.Protocol;
import laurelkeel.front.upstream.EndpointAddress;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The services of a front node on the platform: its protocol, discovery, the control service and a decider.
 *
 * <p>Fully usable after construction, since the decider may use any service before {@link #start}. Called on the event
 * loop's thread unless a method says otherwise.
 */
final class PlatformServices implements NodeServices {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformServices.class);
    /** After this time the node is ready without discovery and the control service, since both may be down. */
    private static final long MAX_WAIT_FOR_SERVICES_TICKS = 3 * Ticks.PER_SECOND;

    private static final String HEALTHY = "ok";
    private static final String STARTING = "starting";
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Decider decider;
    private final EventLoop loop;
    private final EventInbox inbox;
    private final PlatformProtocol protocol;
    private final EndpointDirectory directory;
    private final NewestBuildExposure exposure = new NewestBuildExposure();
    private final ServiceConnector connector;
    private final DiscoveryClient discovery;
    private final ControlServiceClient controlService;
    private final long createdAtTicks;
    /** Whether the services have reported, or need not be waited for any longer. */
    private boolean started;

    /**
     * Creates the services and applies the endpoint list and rollout state of the configuration; opens no connection.
     *
     * @param deciderFactory creates the decider from the configuration's settings and seed
     */
    PlatformServices(NodeConfiguration configuration, Decider.Factory deciderFactory, NodeRuntime runtime) {
        decider = deciderFactory.create(configuration.settings(), configuration.seed());
        loop = runtime.loop();
        inbox = runtime.inbox();
        createdAtTicks = loop.nowTicks();
        protocol = new PlatformProtocol(configuration.settings(), configuration.socketOptions());
        long unixEpochTicks = loop.clockTicks() - System.currentTimeMillis() * Ticks.PER_MILLISECOND;
        directory = new EndpointDirectory(
                configuration.socketOptions().zones(),
                configuration.socketOptions().kinds(),
                new StartTimeTranslator(unixEpochTicks),
                inbox::retireAddress);
        connector = new ServiceConnector(loop, runtime.socketThreads(), runtime.processors(1));
        discovery = new DiscoveryClient(
                connector, loop, configuration.seed() * 2, directory, configuration.discovery(), inbox::add);
        controlService = new ControlServiceClient(
                connector,
                loop,
                configuration.seed() * 2 + 1,
                configuration.settings().rollout().voteTimeoutTicks(),
                protocol::routeIndex,
                configuration.controlService(),
                this::onControlServiceEvent);
        applyCachedEndpoints(configuration);
        applyRolloutState(configuration);
    }

    private void applyCachedEndpoints(NodeConfiguration configuration) {
        DiscoveredEndpointList cached = configuration.cachedEndpoints();
        if (cached == null) {
            return;
        }
        try {
            Event.EndpointListUpdate update = directory.applyCached(cached, loop.nowTicks());
            if (update != null) {
                inbox.add(update);
            }
        } catch (StaleEndpointListException e) {
            LOG.warn("the configuration's endpoint list is ignored: {}", e.getMessage());
        }
    }

    private void applyRolloutState(NodeConfiguration configuration) {
        ReportedRollout state = configuration.rolloutState();
        if (state != null) {
            onControlServiceEvent(state.toUpdate(0, false));
        }
    }

    private void onControlServiceEvent(Event event) {
        if (event instanceof Event.RolloutUpdate update) {
            exposure.onUpdate(update, loop.nowTicks());
        }
        inbox.add(event);
    }

    @Override
    public void start(FrontStatus front) {
        loop.post(() -> {
            discovery.start();
            controlService.start();
        });
    }

    /** Moves to the service addresses of another configuration; may be called on any thread. */
    void moveTo(NodeConfiguration configuration) {
        loop.postPriority(() -> {
            LOG.info(
                    "using discovery at {} and the control service at {}",
                    configuration.discovery(),
                    configuration.controlService());
            discovery.moveTo(configuration.discovery());
            controlService.moveTo(configuration.controlService());
        });
    }

    @Override
    public List<Runnable> closeTasks() {
        return List.of(discovery::close, controlService::close, connector::close);
    }

    /** Returns the version of the endpoint list; negative if none is known. */
    long endpointListVersion() {
        return directory.version();
    }

    @Override
    public Protocol protocol() {
        return protocol;
    }

    @Override
    public Decider decider() {
        return decider;
    }

    @Override
    public EndpointAddress addressOf(String endpointId) {
        return directory.addressOf(endpointId);
    }

    @Override
    public boolean mayStillSend(String endpointId, long decidedAtTicks) {
        int build = directory.buildUnchangedSince(endpointId, decidedAtTicks);
        return build != EndpointDirectory.NO_BUILD && exposure.maySend(build, decidedAtTicks);
    }

    @Override
    public HttpResponse answerNodeRequest(HttpRequest request, String health) {
        boolean ready = isReady();
        boolean healthy = ready && health.equals(HEALTHY);
        String body = (ready ? health : STARTING) + "\n";
        return new HttpResponse(
                healthy ? STATUS_OK : STATUS_UNAVAILABLE, new Headers(), body.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Returns whether an endpoint is known, and both services have reported or the wait for them is over. That they may be down
     * does not excuse a start with a list that discovery has replaced by one that this node cannot read.
     */
    private boolean isReady() {
        boolean reported = discovery.hasReported() && controlService.hasReported();
        boolean waitIsOver = loop.nowTicks() > createdAtTicks + MAX_WAIT_FOR_SERVICES_TICKS;
        started |= reported || (waitIsOver && !discovery.isLastMessageUnreadable());
        return started && !directory.isEmpty();
    }

    @Override
    public void castVote(Action.CastVote vote) {
        controlService.vote(vote);
    }

    /** Does nothing, since discovery is always watched. */
    @Override
    public void watchEndpoints(boolean enabled) {}

    /** Does nothing, since discovery is always watched. */
    @Override
    public void fetchEndpoints() {}

    /** Does nothing, since the platform's settings do not allow gossip. */
    @Override
    public void sendGossip(int toNode, byte[] payload) {}
}
