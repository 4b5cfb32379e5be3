package laurelkeel.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.EventInbox;
import laurelkeel.front.FrontNode;
import laurelkeel.front.FrontStatus;
import laurelkeel.front.NodeRuntime;
import laurelkeel.front.NodeServices;
import laurelkeel.front.Protocol;
import laurelkeel.front.ingress.IngressSettings;
import laurelkeel.front.upstream.EndpointAddress;
import laurelkeel.front.upstream.UpstreamSettings;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A front as one node of the platform: its words, its discovery, its release desk, and bounds from its limits. */
public final class PlatformNode implements NodeServices {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformNode.class);
    /** No body of the platform has more. */
    private static final int BODY = 64 << 10;
    /** Descriptors for all but reqs: the runtime's files and selectors, the listener, discovery, the desk. */
    private static final int OWN_SOCKETS = 48;
    /** Of the rest, what clients may hold; a quarter of that comes on top while others make room. */
    private static final double CLIENTS = 0.44;

    private static final int SPARE = 4;
    /** New connections come for 0.4 s after SIGTERM, and clients' reqs count as owed for 0.7 s. */
    private static final long LAME_DUCK = 5_500;
    /** Clients that cannot be understood are owed a close within 3 s. */
    private static final long FIRST_REQ = 24_000, HALF_REQ = 20_000;
    /** A client's connection may be closed 2 s after its answer. */
    private static final long KEEP = 21_000;
    /** What comes behind an answer comes at once; two cores' turns are well below this. */
    private static final long REST = 100;
    /** How much sooner than a machine this side closes an idle connection. */
    private static final long IDLE_SOONER = 20_000;
    /** A node is ready without discovery or desk after this, for both may be down. */
    private static final long READY_ANYWAY = 30_000;

    private final NodeConfiguration config;
    private final Decider decider;
    private final NodeRuntime base;
    private final EventLoop loop;
    private final PlatformProtocol words;
    private final EndpointDirectory machines;
    private final ServiceConnections links;
    private final DiscoveryClient discovery;
    private final ControlServiceClient desk;
    private final EventInbox inbox;
    private final long startedAt;
    /** Made for this node, which itself never calls it: set before anybody has the node. */
    private FrontNode frontNode;

    private int newsBuild = -1;
    private double newsCap;
    private long loweredAt = Long.MIN_VALUE;

    private PlatformNode(NodeConfiguration config, Decider.Factory maker, NodeRuntime base) {
        this.config = config;
        decider = maker.create(config.settings(), config.seed());
        this.base = base;
        loop = base.loop();
        inbox = base.inbox();
        startedAt = loop.nowTicks();
        words = new PlatformProtocol(config.settings(), config.socketOptions());
        long epoch = loop.clockTicks() - System.currentTimeMillis() * 10;
        machines = new EndpointDirectory(
                config.socketOptions().zones(),
                config.socketOptions().kinds(),
                new StartTimeTranslator(epoch),
                inbox::retireAddress);
        links = new ServiceConnections(loop, base.socketThreads(), base.sharedProcessors());
        discovery = new DiscoveryClient(links, loop, config.seed() * 2, machines, config.discovery(), inbox::add);
        desk = new ControlServiceClient(
                links,
                loop,
                config.seed() * 2 + 1,
                config.settings().rollout().voteTimeoutTicks(),
                words::route,
                config.controlService(),
                this::news);
        learnConfiguration();
    }

    /** What the configuration tells is known from the first turn on. */
    private void learnConfiguration() {
        try {
            if (config.cachedEndpoints() != null) {
                inbox.add(machines.known(config.cachedEndpoints(), loop.nowTicks()));
            }
        } catch (MalformedMessageException e) {
            LOG.warn("known: the list of the configuration cannot be read; waiting for discovery: {}", e.getMessage());
        }
        Event.RolloutUpdate news = ControlServiceClient.known(config.rolloutNews());
        if (news != null) {
            news(news);
        }
    }

    /** A front node with the decider that maker makes; it runs once its front is started. */
    public static PlatformNode create(NodeConfiguration config, Decider.Factory maker) {
        return create(config, maker, NodeRuntime.monotonicClock());
    }

    /** @param clock tenths of a millisecond that only advance */
    static PlatformNode create(NodeConfiguration config, Decider.Factory maker, LongSupplier clock) {
        return create(config, maker, clock, node -> node);
    }

    /** @param between what the front is handed for the node: a test may stand between the two */
    static PlatformNode create(
            NodeConfiguration config, Decider.Factory maker, LongSupplier clock, UnaryOperator<NodeServices> between) {
        PlatformNode node = new PlatformNode(config, maker, NodeRuntime.forSingleCore(clock));
        node.frontNode =
                new FrontNode(config.settings(), door(config), machineSide(config), node.base, between.apply(node));
        return node;
    }

    long version() {
        return machines.version();
    }

    public FrontNode frontNode() {
        return frontNode;
    }

    private static int clientConnections(int sockets) {
        return Math.max(8, (int) ((sockets - OWN_SOCKETS) * CLIENTS));
    }

    /** What may be open to all machines where a process may hold so many descriptors. */
    static int machineConnections(int sockets) {
        int clients = clientConnections(sockets);
        return Math.max(8, sockets - OWN_SOCKETS - clients - clients / SPARE);
    }

    private static IngressSettings door(NodeConfiguration c) {
        int open = clientConnections(c.maxSockets());
        int held = c.socketOptions().maxOpenRequests() > 0
                ? Math.min(c.socketOptions().maxOpenRequests(), open * 2)
                : open * 2;
        // a drain takes as long as the longest route at least, and need not take longer
        return new IngressSettings(
                c.listen(),
                new HttpLimits(2 << 10, 8 << 10, 64, BODY),
                open,
                open / SPARE,
                held,
                8192,
                4,
                600_000,
                100_000,
                1,
                0,
                LAME_DUCK,
                FIRST_REQ,
                HALF_REQ,
                KEEP);
    }

    private static UpstreamSettings machineSide(NodeConfiguration c) {
        int most = machineConnections(c.maxSockets());
        long idle = c.socketOptions().idleTimeoutTicks() > 0 ? c.socketOptions().idleTimeoutTicks() : 100_000;
        return new UpstreamSettings(
                new HttpLimits(1 << 10, 8 << 10, 64, BODY),
                most,
                most,
                1024,
                c.socketOptions().connectTimeoutTicks() > 0 ? c.socketOptions().connectTimeoutTicks() : 2_500,
                Math.max(idle / 2, idle - IDLE_SOONER),
                1,
                "/load",
                2_500,
                REST);
    }

    @Override
    public void start(FrontStatus front) {
        loop.post(() -> {
            discovery.start();
            desk.start();
        });
    }

    /** Follows a configuration that has replaced the one before; from any thread. */
    public void reconfigure(NodeConfiguration next) {
        loop.postPriority(() -> {
            LOG.info("discovery is at {}, the release desk at {}", next.discovery(), next.controlService());
            discovery.move(next.discovery());
            desk.move(next.controlService());
        });
    }

    @Override
    public List<Runnable> closeTasks() {
        return List.of(discovery::close, desk::close, links::close);
    }

    private void news(Event e) {
        if (e instanceof Event.RolloutUpdate n && n.status() == Event.ControlStatus.OK && n.build() >= newsBuild) {
            double cap = n.phase() == RolloutPhase.CANARY || n.phase() == RolloutPhase.RELEASED ? n.exposureCap() : 0;
            if (n.build() > newsBuild || cap < newsCap) {
                loweredAt = loop.nowTicks();
            }
            newsBuild = n.build();
            newsCap = cap;
        }
        inbox.add(e);
    }

    @Override
    public Protocol protocol() {
        return words;
    }

    @Override
    public Decider decider() {
        return decider;
    }

    @Override
    public EndpointAddress addressOf(String machine) {
        return machines.place(machine);
    }

    @Override
    public boolean mayStillSend(String machine, long begunAt) {
        int build = machines.sameSince(machine, begunAt);
        return build >= 0 && (build < newsBuild || loweredAt < begunAt);
    }

    @Override
    public HttpResponse answerNodeRequest(HttpRequest http, String health) {
        boolean ready = !machines.empty()
                && ((discovery.heard() && desk.heard()) || loop.nowTicks() > startedAt + READY_ANYWAY);
        boolean well = ready && health.equals("ok");
        String text = well ? "ok\n" : ready ? health + "\n" : "starting\n";
        return new HttpResponse(well ? 200 : 503, new Headers(), text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void castVote(Action.CastVote vote) {
        desk.vote(vote);
    }

    /** Discovery is followed all the time. */
    @Override
    public void watchEndpoints(boolean on) {}

    @Override
    public void fetchEndpoints() {}

    /** The platform's settings allow no notes. */
    @Override
    public void sendGossip(int to, byte[] bytes) {}
}
