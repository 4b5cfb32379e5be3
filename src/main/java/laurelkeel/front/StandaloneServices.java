package laurelkeel.front;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.admin.AdminServer;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.front.upstream.EndpointAddress;
import laurelkeel.partition.PartitionedDecider;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * The services of a standalone front node, which an INI file configures: protocol, control plane, partitions,
 * complaints, metrics and admin server.
 */
final class StandaloneServices implements NodeServices {
    private final FrontSettings settings;
    private final NodeRuntime runtime;
    private final EventLoop loop;
    private final PartitionedDecider partitions;
    private final Decider decider;
    private final StandaloneProtocol protocol;
    private final FrontMetrics metrics;
    private final StandaloneControlPlane controlPlane;
    private final ComplaintHandler complaints;
    private final EndpointAddressResolver addresses = new EndpointAddressResolver();
    /** Created at the node's start; null before that and if there is no admin address. */
    private @Nullable AdminServer adminServer;

    /**
     * Creates the services; only the record file is opened.
     *
     * @param guarded false omits the partitions
     * @throws IOException if the record file cannot be opened
     */
    StandaloneServices(FrontSettings settings, Decider.Factory deciders, NodeRuntime runtime, boolean guarded)
            throws IOException {
        this.settings = settings;
        this.runtime = runtime;
        loop = runtime.loop();
        Settings decisionSettings = settings.decisionSettings();
        metrics = new FrontMetrics(
                settings.routes().entries().stream().map(RouteTable.Entry::name).toList());
        partitions = new PartitionedDecider(decisionSettings, settings.seed(), deciders);
        decider = guarded ? partitions : deciders.create(decisionSettings, settings.seed());
        protocol = createProtocol(settings, runtime.incarnation());
        controlPlane = new StandaloneControlPlane(settings, runtime, new BuildAttributions(partitions, metrics));
        complaints = new ComplaintHandler(runtime, controlPlane.reporter(), metrics);
    }

    private static StandaloneProtocol createProtocol(FrontSettings settings, String incarnation) {
        Settings decisionSettings = settings.decisionSettings();
        List<Settings.Route> routes = decisionSettings.routes();
        return new StandaloneProtocol(
                settings.routes(),
                route -> routes.get(route).timeoutTicks(),
                decisionSettings.nodeIndex() + "/" + incarnation,
                settings.upstream().healthCheckPath());
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
        NodeGauges.register(metrics, status, loop, partitions, controlPlane.recorder(), controlPlane.reporter());
        controlPlane.startReportsAndGossip();
        if (settings.adminAddress() != null) {
            adminServer =
                    new AdminServer(runtime.socketThreads(), settings.adminAddress(), status::health, metrics::text);
            adminServer.start();
        }
        controlPlane.startWatches();
    }

    @Override
    public List<Runnable> closeTasks() {
        List<Runnable> tasks = new ArrayList<>(controlPlane.closeTasks());
        if (adminServer != null) {
            tasks.add(adminServer::close);
        }
        tasks.addAll(controlPlane.finalCloseTasks());
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
        controlPlane.castVote(vote);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        controlPlane.watchEndpoints(enabled);
    }

    @Override
    public void fetchEndpoints() {
        controlPlane.fetchEndpoints();
    }

    @Override
    public void sendGossip(int toNode, byte[] payload) {
        if (controlPlane.sendGossip(toNode, payload)) {
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
        controlPlane.reporter().onAttemptEnded(origin(endpointId, startedAtTicks, request), loop.nowTicks(), outcome);
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
