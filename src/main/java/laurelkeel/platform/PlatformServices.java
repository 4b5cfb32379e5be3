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
 * What a front node on the platform is given: the platform's protocol, discovery, the control service and a decider.
 *
 * <p>Complete when constructed: the decider may ask for anything before the services are started. Called on the event
 * loop's thread unless a method says otherwise.
 */
final class PlatformServices implements NodeServices {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformServices.class);
    /** Both services may be down; the node is ready without them after this time. */
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
    private final ServiceClient discovery;
    private final ControlServiceClient controlService;
    private final long createdAtTicks;

    /**
     * Wires the services up and takes over the lists of the configuration; opens no connection.
     *
     * @param deciderFactory makes the decider from the configuration's settings and seed
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
        learnCachedEndpoints(configuration);
        learnRolloutState(configuration);
    }

    private void learnCachedEndpoints(NodeConfiguration configuration) {
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

    private void learnRolloutState(NodeConfiguration configuration) {
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

    /** Follows the services to the addresses of another configuration; from any thread. */
    void moveTo(NodeConfiguration configuration) {
        loop.postPriority(() -> {
            LOG.info(
                    "discovery is at {}, the control service at {}",
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

    /** The version of the endpoint list; below 0 where none is known. */
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

    /** Whether an endpoint is known, and both services have reported or were waited for long enough. */
    private boolean isReady() {
        boolean reported = discovery.hasReported() && controlService.hasReported();
        boolean waited = loop.nowTicks() > createdAtTicks + MAX_WAIT_FOR_SERVICES_TICKS;
        return !directory.isEmpty() && (reported || waited);
    }

    @Override
    public void castVote(Action.CastVote vote) {
        controlService.vote(vote);
    }

    /** Does nothing: discovery is followed all the time. */
    @Override
    public void watchEndpoints(boolean enabled) {}

    /** Does nothing: discovery is followed all the time. */
    @Override
    public void fetchEndpoints() {}

    /** Does nothing: the platform's settings allow no gossip. */
    @Override
    public void sendGossip(int toNode, byte[] payload) {}
}
