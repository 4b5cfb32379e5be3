package laurelkeel.platform;

import laurelkeel.api.Ticks;
import laurelkeel.front.ingress.IngressSettings;
import laurelkeel.front.upstream.UpstreamSettings;
import laurelkeel.wire.HttpLimits;

/** Derives a front node's socket limits and timeouts from its configuration; thread-safe. */
final class FrontNodeSettings {
    /** The platform's limit on the size of a body. */
    private static final int MAX_BODY_BYTES = 64 << 10;

    private static final int MAX_REQUEST_LINE_BYTES = 2 << 10;
    private static final int MAX_STATUS_LINE_BYTES = 1 << 10;
    private static final int MAX_HEADER_BYTES = 8 << 10;
    private static final int MAX_HEADERS = 64;
    /** A single I/O thread is shared by client and endpoint connections. */
    private static final int IO_THREADS = 1;

    private static final int OPEN_REQUESTS_PER_CLIENT_CONNECTION = 2;
    private static final int MAX_QUEUED_TASKS = 8192;
    private static final int MAX_PIPELINED_REQUESTS = 4;
    private static final long CLIENT_IDLE_TIMEOUT_TICKS = 60 * Ticks.PER_SECOND;
    private static final long WRITE_TIMEOUT_TICKS = 10 * Ticks.PER_SECOND;
    /** 0 adds nothing: a drain always allows at least the longest route timeout, which is enough. */
    private static final long MAX_DRAIN_TICKS = 0;
    /** After SIGTERM, new connections arrive for up to 0.4 s, and requests must be answered for 0.7 s. */
    private static final long LAME_DUCK_TICKS = 550 * Ticks.PER_MILLISECOND;
    /** SIGKILL comes no sooner than the longest deadline, of which at most this much counts, ... */
    private static final long MAX_DEADLINE_BEFORE_KILL_TICKS = 3 * Ticks.PER_SECOND;
    /** ... and this much after SIGTERM. */
    private static final long KILL_DELAY_TICKS = 700 * Ticks.PER_MILLISECOND;
    /** For a late start of the drain, and for the answers to be written. */
    private static final long KILL_MARGIN_TICKS = 250 * Ticks.PER_MILLISECOND;
    /** A client that sends no valid request must receive a response or a close within 3 s. */
    private static final long FIRST_REQUEST_TIMEOUT_TICKS = 2_400 * Ticks.PER_MILLISECOND;

    private static final long PARTIAL_REQUEST_TIMEOUT_TICKS = 2_000 * Ticks.PER_MILLISECOND;
    /** A client's connection may be closed once it has been idle for 2 s after a response. */
    private static final long MIN_IDLE_TICKS = 2_100 * Ticks.PER_MILLISECOND;

    private static final int MAX_WAITING_PER_ENDPOINT = 1024;
    private static final long DEFAULT_CONNECT_TIMEOUT_TICKS = 250 * Ticks.PER_MILLISECOND;
    private static final long DEFAULT_ENDPOINT_IDLE_TIMEOUT_TICKS = 10 * Ticks.PER_SECOND;
    /** How much earlier than the endpoint this node closes an idle connection. */
    private static final long IDLE_MARGIN_TICKS = 2 * Ticks.PER_SECOND;

    private static final long HEALTH_CHECK_TIMEOUT_TICKS = 250 * Ticks.PER_MILLISECOND;
    /** Surplus bytes that an endpoint sends after a response arrive within this time. */
    private static final long REUSE_DELAY_TICKS = 10 * Ticks.PER_MILLISECOND;

    private FrontNodeSettings() {}

    /** Returns the limits and timeouts of connections from clients. */
    static IngressSettings ingress(NodeConfiguration configuration) {
        SocketBudget budget = SocketBudget.of(configuration.maxSockets());
        return new IngressSettings(
                configuration.listen(),
                new HttpLimits(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_HEADERS, MAX_BODY_BYTES),
                budget.clientConnections(),
                budget.spareClientConnections(),
                maxOpenRequests(configuration, budget),
                MAX_QUEUED_TASKS,
                MAX_PIPELINED_REQUESTS,
                CLIENT_IDLE_TIMEOUT_TICKS,
                WRITE_TIMEOUT_TICKS,
                IO_THREADS,
                MAX_DRAIN_TICKS,
                LAME_DUCK_TICKS,
                drainDeadlineTicks(configuration),
                FIRST_REQUEST_TIMEOUT_TICKS,
                PARTIAL_REQUEST_TIMEOUT_TICKS,
                MIN_IDLE_TICKS);
    }

    private static long drainDeadlineTicks(NodeConfiguration configuration) {
        long longestDeadlineTicks = configuration.settings().longestTimeoutTicks();
        return Math.min(longestDeadlineTicks, MAX_DEADLINE_BEFORE_KILL_TICKS) + KILL_DELAY_TICKS - KILL_MARGIN_TICKS;
    }

    private static int maxOpenRequests(NodeConfiguration configuration, SocketBudget budget) {
        int maxForSockets = budget.clientConnections() * OPEN_REQUESTS_PER_CLIENT_CONNECTION;
        int configured = configuration.socketOptions().maxOpenRequests();
        return configured > 0 ? Math.min(configured, maxForSockets) : maxForSockets;
    }

    /** Returns the limits and timeouts of connections to endpoints. */
    static UpstreamSettings upstream(NodeConfiguration configuration) {
        int maxConnections = SocketBudget.of(configuration.maxSockets()).endpointConnections();
        long connectTimeoutTicks =
                positiveOr(configuration.socketOptions().connectTimeoutTicks(), DEFAULT_CONNECT_TIMEOUT_TICKS);
        long endpointIdleTimeoutTicks =
                positiveOr(configuration.socketOptions().idleTimeoutTicks(), DEFAULT_ENDPOINT_IDLE_TIMEOUT_TICKS);
        return new UpstreamSettings(
                new HttpLimits(MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES, MAX_HEADERS, MAX_BODY_BYTES),
                maxConnections,
                maxConnections,
                MAX_WAITING_PER_ENDPOINT,
                connectTimeoutTicks,
                Math.max(endpointIdleTimeoutTicks / 2, endpointIdleTimeoutTicks - IDLE_MARGIN_TICKS),
                IO_THREADS,
                EndpointMessages.HEALTH_CHECK_PATH,
                HEALTH_CHECK_TIMEOUT_TICKS,
                REUSE_DELAY_TICKS);
    }

    private static long positiveOr(long configured, long defaultValue) {
        return configured > 0 ? configured : defaultValue;
    }
}
