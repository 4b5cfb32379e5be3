package laurelkeel.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Settings;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.ClientConnection;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.ingress.ClientState;
import laurelkeel.front.ingress.CloseReason;
import laurelkeel.front.ingress.EnumCounts;
import laurelkeel.front.ingress.Ingress;
import laurelkeel.front.ingress.IngressListener;
import laurelkeel.front.ingress.IngressSettings;
import laurelkeel.front.upstream.ConnectionPools;
import laurelkeel.front.upstream.UpstreamSettings;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.MessageBuilder;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A front node. What happens on sockets and in the control plane becomes events of one decider, which gets all events
 * of a turn of the event loop with one timestamp; its actions are carried out in order. Whatever the decider does, the
 * node gives each accepted request exactly one final answer before its deadline, and sends no attempt for it
 * afterwards.
 *
 * <p>A node is ready to use once constructed, starts once and ends once. {@link #fail}, {@link #drain},
 * {@link #termination} and the methods of {@link FrontStatus} may be called on any thread at any time.
 */
public final class FrontNode implements FrontStatus {
    /** Whether the environment asks for one log line a second about requests and attempts in flight. */
    public static final boolean TRACE = System.getenv("LAURELKEEL_TRACE") != null;

    private static final Logger LOG = LoggerFactory.getLogger(FrontNode.class);

    private static final long BIND_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long BIND_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final NodeComponents components;
    private final EventLoop loop;
    private final EventInbox inbox;
    private final Decider decider;
    private final Ingress ingress;
    private final ConnectionPools pools;
    private final NodeLifecycle lifecycle;
    private final AcceptedRequestTable requests;
    private final ResponseWriter responses;
    private final RequestIntake intake;
    private final ActionExecutor executor;
    private final DrainController drain;
    private final EnumCounts<ClientState> attemptsByClientState = new EnumCounts<>(ClientState.class);
    private final TotalsLogger totalsLogger;
    private final NodeShutdown shutdown;

    /**
     * Creates a standalone node, with the settings of an INI file.
     *
     * @throws IOException if the record file of the settings cannot be opened
     */
    public FrontNode(FrontSettings settings, Decider.Factory deciders) throws IOException {
        this(settings, deciders, NodeRuntime.monotonicClock(), true);
    }

    /**
     * Creates a standalone node, with the settings of an INI file.
     *
     * @param clock a monotonic clock in ticks
     * @param guarded false disables the guard of final answers and omits the partitions, for tests that the audit
     *     detects a decider that breaks the rules
     */
    FrontNode(FrontSettings settings, Decider.Factory deciders, LongSupplier clock, boolean guarded)
            throws IOException {
        this(settings, deciders, NodeRuntime.create(clock), guarded);
    }

    private FrontNode(FrontSettings settings, Decider.Factory deciders, NodeRuntime runtime, boolean guarded)
            throws IOException {
        this(
                settings.decisionSettings(),
                settings.ingress(),
                settings.upstream(),
                runtime,
                new StandaloneServices(settings, deciders, runtime, guarded),
                guarded);
    }

    /**
     * Creates a node with the protocol, the decider and the control-plane sources of the given services.
     *
     * @param runtime shut down with the node
     */
    public FrontNode(
            Settings settings,
            IngressSettings ingressSettings,
            UpstreamSettings upstreamSettings,
            NodeRuntime runtime,
            NodeServices services) {
        this(settings, ingressSettings, upstreamSettings, runtime, services, true);
    }

    private FrontNode(
            Settings settings,
            IngressSettings ingressSettings,
            UpstreamSettings upstreamSettings,
            NodeRuntime runtime,
            NodeServices services,
            boolean guarded) {
        loop = runtime.loop();
        inbox = runtime.inbox();
        Protocol protocol = services.protocol();
        decider = services.decider();
        pools = new ConnectionPools(
                upstreamSettings,
                protocol,
                loop,
                runtime.socketThreads(),
                runtime.processors(upstreamSettings.threads()));
        ingress = new Ingress(
                ingressSettings,
                protocol,
                loop,
                runtime.socketThreads(),
                runtime.processors(ingressSettings.threads()),
                new ClientEvents());
        components = new NodeComponents(settings, runtime, services, protocol, ingress, pools, new MessageBuilder());
        lifecycle = new NodeLifecycle(settings.nodeIndex(), runtime.incarnation());
        requests = new AcceptedRequestTable(runtime.incarnation());
        RequestTotals totals = new RequestTotals();
        FinalAnswerGuard guard = new FinalAnswerGuard(loop, guarded);
        responses = new ResponseWriter(components, requests, totals, guard);
        intake = new RequestIntake(components, lifecycle, requests, totals, guard, responses);
        executor = new ActionExecutor(
                components,
                requests,
                new AttemptDispatcher(components, requests, totals, attemptsByClientState, guard, responses),
                responses,
                new HealthChecker(components, upstreamSettings.healthCheckTimeoutTicks()));
        drain = new DrainController(components, lifecycle, requests, ingressSettings);
        totalsLogger = new TotalsLogger(components, totals, attemptsByClientState);
        shutdown = new NodeShutdown(components, lifecycle, requests, totalsLogger);
    }

    /**
     * Starts the node, once. Its parts start in the order of their dependencies: the control-plane sources, the
     * listener, and last the event loop's thread, which handles the events of both. A drain or failure requested
     * earlier takes effect once that thread runs.
     *
     * @return the address of the listener
     * @throws IOException if a source or the listener cannot be opened; everything is closed then
     * @throws IllegalStateException if the node was started before
     */
    public InetSocketAddress start() throws IOException {
        if (lifecycle.state() != NodeState.CREATED) {
            throw new IllegalStateException("a node can be started only once; this one is " + lifecycle.state());
        }
        lifecycle.enter(NodeState.STARTING, "start requested");
        ClassPreloader.preload();
        loop.post(pools::startSweeps);
        loop.post(ingress::startSweeps);
        totalsLogger.start();
        if (TRACE) {
            new TraceLogger(components, requests).start();
        }
        InetSocketAddress address;
        try {
            components.services().start(this);
            address = bind();
        } catch (IOException | RuntimeException e) {
            shutdown.run(e);
            throw e;
        }
        Settings settings = components.settings();
        LOG.info("node {} of {} accepts requests on {}", settings.nodeIndex(), settings.nodeCount(), address);
        lifecycle.enter(NodeState.SERVING, "the listener is open");
        new Thread(this::run, "front-" + settings.nodeIndex()).start();
        return address;
    }

    /**
     * Opens the listener, with retries: a process that is shutting down may still use the address, and the system may
     * be short of a resource for a moment.
     */
    private InetSocketAddress bind() throws IOException {
        long deadline = System.nanoTime() + BIND_TIMEOUT_NANOS;
        while (true) {
            try {
                return ingress.bind();
            } catch (IOException | RuntimeException e) {
                if (System.nanoTime() > deadline) {
                    throw e;
                }
                LOG.warn("the listener cannot be opened yet: {}", e.toString());
                LockSupport.parkNanos(BIND_RETRY_NANOS);
            }
        }
    }

    private void run() {
        Throwable failure = null;
        try {
            loop.run(this::decide);
        } catch (RuntimeException | Error e) {
            failure = e;
            LOG.error("the node failed; it fails its active requests and shuts down", e);
        }
        shutdown.run(failure);
    }

    /**
     * Ends a turn: passes all its events to the decider in one call and carries out its actions in order.
     *
     * @return whether the actions have caused further events
     */
    private boolean decide() {
        if (inbox.isEmpty()) {
            ingress.flush();
            return false;
        }
        inbox.takeRetiredAddresses().forEach(pools::closeIdle);
        List<Event> events = inbox.takeEvents();
        components.services().onTurn(events.size());
        for (Action action : decider.decide(loop.nowTicks(), events)) {
            executor.execute(action);
        }
        ingress.flush();
        return !inbox.isEmpty();
    }

    /** Fails the node, as when its decider throws: it fails its active requests and shuts down. Thread-safe. */
    public void fail(Throwable cause) {
        loop.fail(cause);
    }

    /** Drains the node: it completes its active requests, accepts no new ones and shuts down. Thread-safe. */
    public void drain() {
        drain.drain();
    }

    /** Returns the future that is completed with null after a drain, or with the cause of the node's failure. */
    public CompletableFuture<@Nullable Throwable> termination() {
        return lifecycle.termination();
    }

    EventLoop loop() {
        return loop;
    }

    @Override
    public String health() {
        return lifecycle.health();
    }

    @Override
    public int activeRequests() {
        return requests.size();
    }

    @Override
    public int clientConnections() {
        return ingress.openConnections();
    }

    @Override
    public Map<CloseReason, Long> closedConnections() {
        return ingress.closedConnections();
    }

    @Override
    public long attempts(ClientState client) {
        return attemptsByClientState.get(client);
    }

    @Override
    public int endpointConnections() {
        return pools.openConnections();
    }

    @Override
    public int rejectedBeforeDecision() {
        return ingress.rejectedBeforeDecision();
    }

    @Override
    public long readAheadBytes() {
        return ingress.readAheadBytes();
    }

    @Override
    public long bodyBytes() {
        return ingress.bodyBytes() + pools.bodyBytes();
    }

    /** Handles the events of the ingress, which occur only once the node has started. */
    private final class ClientEvents implements IngressListener {
        @Override
        public void onRequest(ClientConnection connection, ClientRequest request, long arrivedAtTicks) {
            intake.accept(connection, request, arrivedAtTicks);
        }

        @Override
        public void onNodeRequest(ClientConnection connection, HttpRequest message) {
            intake.answerNodeRequest(connection, message);
        }

        @Override
        public void onDisconnect(@Nullable Object current) {
            if (current instanceof AcceptedRequest request) {
                responses.clientDisconnected(request);
            }
        }

        @Override
        public int activeRequests() {
            return requests.size();
        }

        @Override
        public boolean isClosingConnections() {
            return lifecycle.isClosingConnections();
        }

        @Override
        public boolean hasEnded() {
            return lifecycle.hasStoppedDeciding();
        }
    }
}
