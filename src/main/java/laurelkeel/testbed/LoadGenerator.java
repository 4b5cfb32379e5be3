package laurelkeel.testbed;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordTerms;
import laurelkeel.records.TrafficRecord;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.HdrHistogram.Histogram;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * Callers of the fronts: reqs at chance moments whatever the answers do (open loop), with keys of which few are
 * popular, deadlines, customers, retries where a shed or the route allows them, and some who leave early.
 */
public final class LoadGenerator {
    private static final AttributeKey CONN = new AttributeKey(LoadGenerator.class, "conn");
    /** How long past its time a client still listens, for what was written in time. */
    private static final long SLACK = 200;
    /** What a client takes off the time it tells, for the way there and back on a host that stalls. */
    private static final long WAY = 1000;

    /** timeout in tenths of a millisecond; share of all reqs. */
    public record LoadRoute(
            String name,
            String method,
            String path,
            TrafficRecord.RoutePolicy policy,
            long timeoutTicks,
            double share) {}

    public record LoadProfile(
            List<LoadRoute> routes,
            Map<String, Double> tenantShares,
            double requestsPerSecond,
            int keyCount,
            double keyPopularityExponent,
            double keylessShare,
            int maxRetries,
            double earlyCloseShare,
            double complaintShare) {}

    /** What callers met, by route. */
    public static final class RouteStatistics {
        public final Histogram completionTicks = new Histogram(600_000_000L, 3);
        public long calls,
                requests,
                completed,
                rejected,
                failed,
                connectionsBroken,
                connectFailures,
                closedEarly,
                overdue,
                bad,
                callsCompleted;
    }

    private final class Call {
        final String of;
        final LoadRoute route;
        final String customer, key, mark;
        final long firstAt = loop.nowTicks();
        final RouteStatistics tally;
        long mayHaveRunAt = Long.MIN_VALUE;
        int again, unreached;

        Call(String of, LoadRoute route, String customer, String key) {
            this.of = of;
            this.route = route;
            this.customer = customer;
            this.key = key;
            this.mark = route.policy().idempotency() == RecordTerms.Idempotency.DEDUPLICATED ? "m-" + of : null;
            this.tally = statistics.get(route.name());
        }
    }

    private static final class Try {
        final Call call;
        final String id;
        final int front;
        final long leaves;
        final boolean complaint;
        EventLoop.ScheduledTask end, early;
        boolean over;

        Try(Call call, String id, int front, long leaves, boolean complaint) {
            this.call = call;
            this.id = id;
            this.front = front;
            this.leaves = leaves;
            this.complaint = complaint;
        }
    }

    private static final class Conn {
        final int front;
        IoSession session;
        Try current;
        String lastReq = "";
        boolean gaveUp;

        Conn(int front) {
            this.front = front;
        }
    }

    private final EventLoop loop;
    private final LoadProfile rule;
    private final Consumer<TrafficRecord> records;
    private final SplittableRandom random;
    private final NioSocketConnector connector = new NioSocketConnector(2);
    private final List<InetSocketAddress> fronts = new ArrayList<>();
    private final List<ArrayDeque<Conn>> idle = new ArrayList<>();
    private final double[] weights;
    private final double[] keyEnds;
    private final Map<String, RouteStatistics> statistics = new HashMap<>();
    private double burst = 1, hotShare;
    private String hotKey;
    private long ids;
    private int openRequests;
    private boolean running;
    private long due;

    public LoadGenerator(
            EventLoop loop,
            LoadProfile rule,
            List<InetSocketAddress> fronts,
            long seed,
            Consumer<TrafficRecord> records) {
        this.loop = loop;
        this.rule = rule;
        this.records = records;
        this.random = new SplittableRandom(seed);
        weights = new double[fronts.size()];
        for (InetSocketAddress f : fronts) {
            this.fronts.add(f);
            idle.add(new ArrayDeque<>());
            weights[idle.size() - 1] = 1;
        }
        keyEnds = new double[rule.keyCount()];
        double sum = 0;
        for (int i = 0; i < keyEnds.length; i++) {
            sum += 1 / Math.pow(i + 1, rule.keyPopularityExponent());
            keyEnds[i] = sum;
        }
        rule.routes().forEach(r -> statistics.put(r.name(), new RouteStatistics()));
        connector.setConnectTimeoutMillis(1000);
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.getFilterChain().addLast("http", HttpCodec.client(HttpLimits.DEFAULT));
        connector.setHandler(new Handler());
    }

    public void start() {
        running = true;
        next();
    }

    /** No new reqs; those out end in their time. */
    public void stop() {
        running = false;
    }

    public void close() {
        connector.dispose(false);
    }

    /** Tries not over yet. */
    public int openRequests() {
        return openRequests;
    }

    public Map<String, RouteStatistics> statistics() {
        return statistics;
    }

    /** Times the usual rate, from now. */
    public void burst(double by) {
        burst = by;
    }

    /** The share of all reqs that one front gets from now; 0 for an even part. */
    public void shift(int front, double share) {
        double rest = share <= 0 ? 1 : (1 - share) / Math.max(1, weights.length - 1);
        for (int i = 0; i < weights.length; i++) {
            weights[i] = i == front && share > 0 ? share : rest;
        }
    }

    /** One key that draws a share of all reqs from now; 0 ends it. */
    public void hotKey(double share) {
        hotShare = share;
        hotKey = "hot-" + ids;
    }

    // ---- reqs

    private void next() {
        if (!running) {
            return;
        }
        double wait = -Math.log(1 - random.nextDouble()) / (rule.requestsPerSecond() * burst) * 10_000;
        // from when the last one was due, not from when this thread got to it: else a busy host thins the load
        due = (due == 0 ? loop.nowTicks() : due) + Math.round(wait);
        loop.schedule(due, () -> {
            next();
            begin();
        });
    }

    private <T> T drawn(List<T> from, java.util.function.ToDoubleFunction<T> share) {
        double at = random.nextDouble() * from.stream().mapToDouble(share).sum();
        for (T t : from) {
            at -= share.applyAsDouble(t);
            if (at < 0) {
                return t;
            }
        }
        return from.get(from.size() - 1);
    }

    private void begin() {
        if (!running) {
            return;
        }
        LoadRoute route = drawn(rule.routes(), LoadRoute::share);
        String customer = rule.tenantShares().isEmpty()
                ? null
                : drawn(new ArrayList<>(rule.tenantShares().entrySet()), Map.Entry::getValue)
                        .getKey();
        String key = random.nextDouble() < rule.keylessShare() ? null : key();
        Call c = new Call("c" + ids++, route, customer, key);
        c.tally.calls++;
        ask(c, false);
    }

    private String key() {
        if (random.nextDouble() < hotShare) {
            return hotKey;
        }
        double at = random.nextDouble() * keyEnds[keyEnds.length - 1];
        int i = java.util.Arrays.binarySearch(keyEnds, at);
        return "k" + (i < 0 ? -i - 1 : i);
    }

    private int front() {
        double sum = 0;
        for (double w : weights) {
            sum += w;
        }
        double at = random.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            at -= weights[i];
            if (at < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private void ask(Call c, boolean again) {
        long left = c.firstAt + c.route.timeoutTicks() - loop.nowTicks();
        if (left < 2 * WAY) {
            return;
        }
        int front = (front() + c.unreached) % fronts.size();
        Try t = new Try(c, c.of + "." + ids++, front, loop.nowTicks() + left, false);
        openRequests++;
        c.tally.requests++;
        connected(front, t, conn -> {
            records.accept(new TrafficRecord.RequestSent(
                    RecordClock.nowTicks(),
                    t.id,
                    c.of,
                    front,
                    c.route.name(),
                    c.customer,
                    c.key,
                    c.mark,
                    RecordClock.nowTicks() + (t.leaves - loop.clockTicks()),
                    again));
            conn.session.write(http(c, t, again));
            t.end = loop.schedule(t.leaves + SLACK, () -> giveUp(conn, t, false));
            if (random.nextDouble() < rule.earlyCloseShare()) {
                t.early = loop.schedule(
                        loop.nowTicks() + (long) (random.nextDouble() * Math.min(left / 4, 400)),
                        () -> giveUp(conn, t, true));
            }
        });
    }

    private HttpRequest http(Call c, Try t, boolean again) {
        Headers h = new Headers()
                .add("Host", "front")
                .add(HeaderNames.REQUEST_ID, t.id)
                .add(HeaderNames.REMAINING, Double.toString(Math.max(10, t.leaves - WAY - loop.clockTicks()) / 10.0));
        if (c.customer != null) {
            h.add(HeaderNames.TENANT, c.customer);
        }
        if (c.key != null) {
            h.add(HeaderNames.PARTITION_KEY, c.key);
        }
        if (c.mark != null) {
            h.add(HeaderNames.IDEMPOTENCY_KEY, c.mark);
        }
        if (again) {
            h.add(HeaderNames.CLIENT_RETRY, "1");
        }
        boolean body = !c.route.method().equals("GET");
        return new HttpRequest(
                c.route.method(),
                c.route.path() + "/" + t.id,
                1,
                h,
                body ? "change".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
    }

    private void connected(int front, Try t, Consumer<Conn> then) {
        ArrayDeque<Conn> pool = idle.get(front);
        for (Conn c = pool.pollFirst(); c != null; c = pool.pollFirst()) {
            if (!c.session.isClosing()) {
                c.current = t;
                c.lastReq = t.id;
                then.accept(c);
                return;
            }
        }
        connector
                .connect(fronts.get(front))
                .addListener(f -> loop.post(() -> {
                    ConnectFuture connected = (ConnectFuture) f;
                    if (!connected.isConnected() || !connected.getSession().isConnected()) {
                        t.call.tally.connectFailures++;
                        over(t);
                        if (++t.call.unreached < 6) {
                            ask(t.call, t.call.again > 0);
                        }
                        return;
                    }
                    Conn c = new Conn(front);
                    c.session = connected.getSession();
                    c.session.setAttribute(CONN, c);
                    c.current = t;
                    c.lastReq = t.id;
                    then.accept(c);
                }));
    }

    private void over(Try t) {
        if (!t.over) {
            t.over = true;
            openRequests -= t.complaint ? 0 : 1;
            if (t.end != null) {
                t.end.cancel();
            }
            if (t.early != null) {
                t.early.cancel();
            }
        }
    }

    private void giveUp(Conn conn, Try t, boolean early) {
        if (!t.over) {
            records.accept(new TrafficRecord.ClientClosed(RecordClock.nowTicks(), t.id, early));
            t.call.tally.closedEarly += early ? 1 : 0;
            t.call.tally.overdue += early ? 0 : 1;
            over(t);
            conn.current = null;
            conn.gaveUp = true;
            conn.session.closeNow();
        }
    }

    // ---- answers

    private void answered(Conn conn, HttpResponse a, long at) {
        Try t = conn.current;
        if (conn.gaveUp) {
            return;
        }
        if (t == null || t.over) {
            records.accept(new TrafficRecord.UnexpectedBytes(at, conn.lastReq, "an answer of status " + a.status()));
            conn.session.closeNow();
            return;
        }
        conn.current = null;
        over(t);
        if (a.closesConnection()) {
            conn.session.closeNow();
        } else {
            idle.get(conn.front).addFirst(conn);
        }
        if (t.complaint) {
            return;
        }
        RouteStatistics tally = t.call.tally;
        String how = a.headers().get(HeaderNames.RESULT);
        RecordTerms.Outcome is = "completed".equals(how)
                ? RecordTerms.Outcome.COMPLETED
                : "shed".equals(how) ? RecordTerms.Outcome.REJECTED : RecordTerms.Outcome.FAILED;
        records.accept(new TrafficRecord.ResponseReceived(
                at, t.id, a.status(), is, "no".equals(a.headers().get(HeaderNames.ACCEPTED))));
        switch (is) {
            case COMPLETED -> {
                tally.completed++;
                tally.callsCompleted++;
                tally.completionTicks.recordValue(Math.max(0, loop.nowTicks() - t.call.firstAt));
                boolean wrong = a.body().length >= 5 && new String(a.body(), 0, 5, UTF_8).equals("wrong");
                if (wrong && random.nextDouble() < rule.complaintShare()) {
                    complain(t.front, t.call, a.headers().get(HeaderNames.RESPONSE_REFERENCE));
                }
            }
            case REJECTED -> {
                tally.rejected++;
                String after = a.headers().get(HeaderNames.RETRY_AFTER_MS);
                retry(t.call, after == null ? 100 : Long.parseLong(after) * 10);
            }
            case FAILED -> {
                tally.failed++;
                tally.bad += a.status() < 500 ? 1 : 0;
                retryIfHarmless(t);
            }
        }
    }

    private void complain(int front, Call c, String ref) {
        Try t = new Try(c, "complaint", front, loop.nowTicks() + 10_000, true);
        HttpRequest http = new HttpRequest(
                "POST",
                "/.laurelkeel/complaints",
                1,
                Headers.of("Host", "front"),
                String.valueOf(ref).getBytes(StandardCharsets.US_ASCII));
        loop.schedule(loop.nowTicks() + 3_000, () -> connected(front, t, conn -> conn.session.write(http)));
    }

    /** What failed may have run: only a route that bears it is asked again. */
    private void retryIfHarmless(Try t) {
        Call c = t.call;
        c.mayHaveRunAt = c.mayHaveRunAt == Long.MIN_VALUE ? loop.nowTicks() : c.mayHaveRunAt;
        TrafficRecord.RoutePolicy r = c.route.policy();
        // the machines' memory began with a try that ran later than the first ask
        boolean marked = r.idempotency() == RecordTerms.Idempotency.DEDUPLICATED
                && r.deduplicationScope() == RecordTerms.DeduplicationScope.ALL
                && loop.nowTicks() < c.firstAt + r.deduplicationWindowTicks() / 2;
        if (r.idempotency() == RecordTerms.Idempotency.IDEMPOTENT || marked) {
            retry(c, 200);
        }
    }

    private void retry(Call c, long after) {
        if (running && c.again < rule.maxRetries()) {
            c.again++;
            loop.schedule(loop.nowTicks() + after + (long) (random.nextDouble() * after / 4), () -> ask(c, true));
        }
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            long at = RecordClock.nowTicks();
            loop.post(() -> {
                if (session.getAttribute(CONN) instanceof Conn c) {
                    if (message instanceof HttpResponse a) {
                        answered(c, a, at);
                    } else if (message instanceof Exception e) {
                        records.accept(
                                new TrafficRecord.UnexpectedBytes(at, c.lastReq, String.valueOf(e.getMessage())));
                        session.closeNow();
                    }
                }
            });
        }

        @Override
        public void sessionClosed(IoSession session) {
            long at = RecordClock.nowTicks();
            loop.post(() -> {
                if (!(session.getAttribute(CONN) instanceof Conn c)) {
                    return;
                }
                idle.get(c.front).remove(c);
                Try t = c.current;
                c.current = null;
                if (t != null && !t.over) {
                    over(t);
                    if (!t.complaint) {
                        records.accept(new TrafficRecord.ConnectionBroken(at, t.id, "the connection closed"));
                        t.call.tally.connectionsBroken++;
                        retryIfHarmless(t);
                    }
                }
            });
        }

        @Override
        public void inputClosed(IoSession session) {
            session.closeNow();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
