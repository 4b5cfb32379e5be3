package laurelkeel.front;

import java.io.IOException;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import laurelkeel.admin.AdminServer;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Settings;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.eventloop.LoopThreads;
import laurelkeel.front.controlplane.ControlPlaneClient;
import laurelkeel.front.controlplane.EndpointListMessage;
import laurelkeel.front.controlplane.EndpointListSource;
import laurelkeel.front.controlplane.GossipChannel;
import laurelkeel.front.controlplane.RolloutMessage;
import laurelkeel.front.controlplane.RolloutSource;
import laurelkeel.front.controlplane.VoteResponse;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.front.upstream.EndpointAddress;
import laurelkeel.partition.PartitionedDecider;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * The services of a front node that is set by an INI file: its own protocol, endpoint list, control service, gossip,
 * partitions, reports, records, metrics and admin address.
 */
final class StandaloneServices implements NodeServices {
    private static final int HTTP_THREADS = 2;
    private static final Duration HTTP_CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long REPORT_INTERVAL_TICKS = 500 * Ticks.PER_MILLISECOND;

    /** Keeps the backoffs of nodes apart that are set to one seed. */
    private static final long SEED_STRIDE = 100_003;

    private final FrontSettings settings;
    private final Settings decisionSettings;
    private final NodeRuntime runtime;
    private final EventLoop loop;
    private final EventInbox inbox;
    private final PartitionedDecider partitions;
    private final Decider decider;
    private final StandaloneProtocol protocol;
    private final FrontMetrics metrics;
    private final ControlPlaneRecorder recorder;
    private final EndpointListTranslator endpointLists;
    private final RolloutTranslator rollouts;
    private final BuildAttributions attributions;
    private final EndpointAddressResolver addresses = new EndpointAddressResolver();
    private final ExecutorService httpThreads;
    private final @Nullable RolloutSource rolloutSource;
    private final AttributionReporter reporter;
    private final ComplaintHandler complaints;
    private final @Nullable EndpointListSource endpointListSource;
    private final @Nullable GossipChannel gossip;
    /** Made when the node starts, of whose status it tells; null before and where there is none. */
    private @Nullable AdminServer adminServer;

    /**
     * Creates the services; nothing is opened but the record file.
     *
     * @param guarded false leaves out the partitions
     * @throws IOException where the record file cannot be opened
     */
    StandaloneServices(FrontSettings settings, Decider.Factory deciders, NodeRuntime runtime, boolean guarded)
            throws IOException {
        this.settings = settings;
        this.runtime = runtime;
        decisionSettings = settings.decisionSettings();
        loop = runtime.loop();
        inbox = runtime.inbox();
        metrics = new FrontMetrics(
                settings.routes().entries().stream().map(RouteTable.Entry::name).toList());
        partitions = new PartitionedDecider(decisionSettings, settings.seed(), deciders);
        decider = guarded ? partitions : deciders.create(decisionSettings, settings.seed());
        protocol = createProtocol();
        recorder = new ControlPlaneRecorder(
                settings.recordFile(), decisionSettings.nodeIndex(), runtime.incarnation(), loop);
        endpointLists = new EndpointListTranslator(
                settings.zones(), loop, new EndpointListCache(settings.stateDirectory(), runtime.timer()), recorder);
        rollouts = new RolloutTranslator(loop, recorder);
        attributions = new BuildAttributions(partitions, metrics);
        httpThreads = LoopThreads.fixedPool(loop, "front-news", HTTP_THREADS);
        HttpClient http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .executor(httpThreads)
                .connectTimeout(HTTP_CONNECT_TIMEOUT)
                .build();
        rolloutSource = createRolloutSource(http);
        reporter = new AttributionReporter(decisionSettings, runtime.incarnation(), this::sendReport);
        complaints = new ComplaintHandler(runtime, reporter, metrics);
        endpointListSource = createEndpointListSource(http);
        gossip = createGossipChannel();
        // the list that the last incarnation kept is known from the first turn on
        onEndpointList(endpointLists.cachedList());
    }

    private StandaloneProtocol createProtocol() {
        List<Settings.Route> routes = decisionSettings.routes();
        return new StandaloneProtocol(
                settings.routes(),
                route -> routes.get(route).timeoutTicks(),
                decisionSettings.nodeIndex() + "/" + runtime.incarnation(),
                settings.upstream().healthCheckPath());
    }

    private long backoffSeed() {
        return 2 * (settings.seed() * SEED_STRIDE + decisionSettings.nodeIndex());
    }

    private @Nullable EndpointListSource createEndpointListSource(HttpClient http) {
        if (settings.endpointListAddress() == null) {
            return null;
        }
        return new EndpointListSource(
                new ControlPlaneClient(http, settings.endpointListAddress(), runtime.timer(), loop),
                !decisionSettings.capabilities().endpointPolling(),
                backoffSeed(),
                new EndpointListSource.Listener() {
                    @Override
                    public void onList(EndpointListMessage list, long arrivedAtTicks) {
                        onEndpointList(endpointLists.translate(list, arrivedAtTicks));
                    }

                    @Override
                    public void onFailure() {
                        inbox.add(new Event.EndpointListUpdate(EndpointListKind.FAILED, List.of()));
                    }
                });
    }

    private @Nullable RolloutSource createRolloutSource(HttpClient http) {
        if (settings.rolloutServiceAddress() == null) {
            return null;
        }
        return new RolloutSource(
                new ControlPlaneClient(http, settings.rolloutServiceAddress(), runtime.timer(), loop),
                decisionSettings.nodeIndex(),
                backoffSeed() + 1,
                new RolloutSource.Listener() {
                    @Override
                    public void onMessage(RolloutMessage message, long arrivedAtTicks) {
                        rollouts.translate(message, arrivedAtTicks).forEach(inbox::add);
                        attributions.update(message.build(), message.attribution());
                    }

                    @Override
                    public void onVoteEnded(int build, VoteResponse response, long arrivedAtTicks) {
                        inbox.add(rollouts.translate(build, response, arrivedAtTicks));
                    }
                });
    }

    private @Nullable GossipChannel createGossipChannel() {
        if (settings.gossipAddress() == null) {
            return null;
        }
        return new GossipChannel(
                decisionSettings.nodeIndex(),
                settings.gossipAddress(),
                settings.gossipPeers(),
                loop,
                runtime.socketThreads(),
                (fromNode, payload) -> inbox.add(new Event.GossipReceived(fromNode, payload)));
    }

    private void onEndpointList(Event.EndpointListUpdate update) {
        reporter.onEndpoints(update);
        inbox.add(update);
    }

    private void sendReport(AttributionReporter.Report report) {
        if (rolloutSource != null) {
            rolloutSource.report(report);
        }
    }

    private void reportRepeatedly() {
        loop.schedule(loop.nowTicks() + REPORT_INTERVAL_TICKS, this::reportRepeatedly);
        reporter.report(loop.nowTicks());
    }

    @Override
    public Decider decider() {
        return decider;
    }

    @Override
    public Protocol protocol() {
        return protocol;
    }

    @Override
    public void start(FrontStatus status) throws IOException {
        NodeGauges.register(metrics, status, loop, partitions, recorder, reporter);
        loop.post(this::reportRepeatedly);
        if (gossip != null) {
            gossip.open();
        }
        if (settings.adminAddress() != null) {
            adminServer =
                    new AdminServer(runtime.socketThreads(), settings.adminAddress(), status::health, metrics::text);
            adminServer.start();
        }
        if (endpointListSource != null) {
            endpointListSource.start();
        }
        if (rolloutSource != null) {
            rolloutSource.start();
        }
    }

    @Override
    public List<Runnable> closeTasks() {
        List<Runnable> tasks = new ArrayList<>();
        if (endpointListSource != null) {
            tasks.add(endpointListSource::close);
        }
        if (rolloutSource != null) {
            tasks.add(rolloutSource::close);
        }
        if (gossip != null) {
            tasks.add(gossip::close);
        }
        if (adminServer != null) {
            tasks.add(adminServer::close);
        }
        tasks.add(httpThreads::shutdown);
        tasks.add(recorder::close);
        return tasks;
    }

    @Override
    public EndpointAddress addressOf(String endpointId) {
        return addresses.addressOf(endpointId);
    }

    @Override
    public HttpResponse answerNodeRequest(HttpRequest message, String health) {
        return complaints.answer(message);
    }

    @Override
    public void castVote(Action.CastVote vote) {
        metrics.voteCast(vote.verdict());
        if (rolloutSource == null) {
            inbox.add(RolloutUpdates.voteFailed(0));
            return;
        }
        long timeoutMillis = decisionSettings.rollout().voteTimeoutTicks() / Ticks.PER_MILLISECOND;
        rolloutSource.vote(vote, Math.max(1, timeoutMillis));
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        if (endpointListSource != null) {
            endpointListSource.watch(enabled);
        }
    }

    @Override
    public void fetchEndpoints() {
        if (endpointListSource != null) {
            endpointListSource.fetch();
        }
    }

    @Override
    public void sendGossip(int toNode, byte[] payload) {
        if (gossip != null && decisionSettings.capabilities().gossip()) {
            gossip.send(toNode, payload);
            metrics.gossipSent();
        }
    }

    @Override
    public void onTurn(int events) {
        metrics.turnEnded(events);
    }

    @Override
    public void onAttemptStarted(int route) {
        metrics.attemptStarted(route);
    }

    @Override
    public void onAttemptEnded(String endpointId, long startedAtTicks, ClientRequest request, AttemptOutcome outcome) {
        metrics.attemptEnded(outcome);
        reporter.onAttemptEnded(origin(endpointId, startedAtTicks, request), loop.nowTicks(), outcome);
    }

    @Override
    public void onCompleted(long requestNumber, String endpointId, long startedAtTicks, ClientRequest request) {
        complaints.onCompleted(requestNumber, origin(endpointId, startedAtTicks, request));
    }

    private static ResponseReferences.Origin origin(String endpointId, long startedAtTicks, ClientRequest request) {
        return new ResponseReferences.Origin(endpointId, startedAtTicks, request.route(), request.tenant());
    }

    @Override
    public void onAnswered(RequestOutcome outcome, long durationTicks) {
        metrics.answered(outcome, durationTicks);
    }

    @Override
    public void onOverdue(int route) {
        metrics.requestOverdue(route);
    }
}
