package laurelkeel.testbed;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordTerms;
import laurelkeel.records.TrafficRecord;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.HttpWriter;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * One stand-in machine on a port of its own: cores that serve, room that waits, a cold start, and whatever is wrong
 * with it. Everything but its sockets happens on the fleet's thread.
 */
public final class SimulatedServer {

    /** What can be wrong with a machine for a while. */
    public enum Fault {
        HANG,
        SLOW,
        LOSE_ANSWERS,
        RESET,
        HALF,
        REFUSE
    }

    private static final class Job {
        final IoSession from;
        final HttpRequest http;
        final String req, route;
        final int no;
        EventLoop.ScheduledTask end;
        boolean left;

        Job(IoSession from, HttpRequest http, String req, String route, int no) {
            this.from = from;
            this.http = http;
            this.req = req;
            this.route = route;
            this.no = no;
        }
    }

    final String id;
    final String zone;
    final int cell;
    final long run;
    final BuildProfile build;
    final InetSocketAddress at;
    private final SimulatedFleet fleet;
    private final ServerProfile shape;
    private final NioSocketAcceptor acceptor;
    private final Set<IoSession> sessions = new LinkedHashSet<>();
    private final Map<IoSession, Job> inHand = new HashMap<>();
    private final ArrayDeque<Job> room = new ArrayDeque<>();
    private final Map<String, Long> keys = new HashMap<>();
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
    private final Map<Fault, Long> faults = new HashMap<>();
    final boolean cold;
    final long startedAt;
    RecordTerms.EndpointState state = RecordTerms.EndpointState.ACTIVE;
    private int busy;
    private double slowBy = 1, meanMs;
    private double loadTold, meanTold;
    private long loadAt;
    boolean dead;

    SimulatedServer(
            SimulatedFleet fleet,
            InetSocketAddress at,
            long run,
            String zone,
            int cell,
            BuildProfile build,
            boolean cold)
            throws IOException {
        this.fleet = fleet;
        this.shape = fleet.shape;
        this.run = run;
        this.zone = zone;
        this.cell = cell;
        this.build = build;
        this.cold = cold;
        this.startedAt = fleet.loop.nowTicks();
        acceptor = new NioSocketAcceptor(fleet.executor, fleet.processors);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(1024);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getFilterChain().addLast("http", HttpCodec.server(HttpLimits.DEFAULT));
        acceptor.setHandler(new Handler());
        acceptor.bind(at);
        this.at = acceptor.getLocalAddress();
        this.id = "127.0.0.1:" + this.at.getPort();
        fleet.record(new TrafficRecord.ServerStarted(
                fleet.time(),
                id,
                run,
                build.number(),
                fleet.zones.indexOf(zone),
                cell,
                shape.capacityPerSecond(),
                shape.warmUpInitialShare(),
                shape.warmUpTicks(),
                shape.overloadMultiple(),
                shape.overloadWindowTicks(),
                cold));
    }

    public BuildProfile build() {
        return build;
    }

    public InetSocketAddress at() {
        return at;
    }

    public int cell() {
        return cell;
    }

    /** The part of its capacity that it has now. */
    double warmth() {
        double share = cold ? Math.min(1, (fleet.loop.nowTicks() - startedAt) / (double) shape.warmUpTicks()) : 1;
        return shape.warmUpInitialShare() + (1 - shape.warmUpInitialShare()) * share;
    }

    public void fault(Fault what, long until, double by) {
        faults.put(what, until);
        slowBy = what == Fault.SLOW ? by : slowBy;
        if (what == Fault.REFUSE) {
            acceptor.unbind();
            sessions.forEach(IoSession::closeNow);
            fleet.loop.schedule(until, () -> {
                try {
                    if (!dead) {
                        acceptor.bind(at);
                    }
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
        }
    }

    private boolean has(Fault what) {
        return faults.getOrDefault(what, Long.MIN_VALUE) > fleet.loop.nowTicks();
    }

    /** Ends it at once, with whatever it held. */
    void die(RecordTerms.StopReason reason) {
        if (!dead) {
            dead = true;
            inHand.values().forEach(j -> {
                if (j.end != null) {
                    j.end.cancel();
                }
            });
            acceptor.unbind();
            sessions.forEach(IoSession::closeNow);
            fleet.executor.execute(() -> acceptor.dispose(false));
            fleet.record(new TrafficRecord.ServerStopped(fleet.time(), id, run, reason));
        }
    }

    int held() {
        return busy + room.size();
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            fleet.loop.post(() -> {
                sessions.add(session);
                if (dead || sessions.size() > shape.connectionLimit()) {
                    session.closeNow();
                }
            });
        }

        @Override
        public void sessionClosed(IoSession session) {
            fleet.loop.post(() -> {
                sessions.remove(session);
                Job j = inHand.remove(session);
                if (j != null) {
                    left(j);
                }
            });
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            long t = fleet.time();
            if (message instanceof HttpRequest r) {
                fleet.loop.post(() -> take(session, r, t));
            } else if (message instanceof Exception) {
                session.closeNow();
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }

    // ---- on the fleet's thread

    private void take(IoSession from, HttpRequest http, long t) {
        if (dead) {
            return;
        }
        if (http.path().equals("/health")) {
            if (!has(Fault.HANG)) {
                from.write(answer(state == RecordTerms.EndpointState.ACTIVE ? 200 : 503, "", new byte[0]));
            }
            return;
        }
        String req = String.valueOf(http.headers().get(HeaderNames.REQUEST_ID));
        String front = String.valueOf(http.headers().get(HeaderNames.FRONT));
        int slash = front.indexOf('/');
        int no = whole(http.headers().get(HeaderNames.ATTEMPT));
        fleet.record(new TrafficRecord.AttemptArrived(
                t,
                id,
                run,
                build.number(),
                req,
                no,
                slash < 0 ? -1 : whole(front.substring(0, slash)),
                slash < 0 ? front : front.substring(slash + 1)));
        if (toppled()) {
            return;
        }
        Job j = new Job(from, http, req, fleet.route(http), no);
        inHand.put(from, j);
        if (has(Fault.HANG)) {
            return;
        }
        if (state != RecordTerms.EndpointState.ACTIVE || (room.size() >= shape.queueLimit() && busy >= shape.cores())) {
            inHand.remove(from);
            fleet.record(new TrafficRecord.AttemptRejected(fleet.time(), id, run, req, no));
            HttpResponse a = answer(503, "no room\n", null);
            a.headers().add(HeaderNames.EXECUTED, "no");
            from.write(a);
            return;
        }
        room.addLast(j);
        serve();
    }

    private static int whole(String s) {
        try {
            return s == null ? -1 : Integer.parseInt(s);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Work that a cold machine is sent past a multiple of what it can do pushes it over, and it stays down. */
    private boolean toppled() {
        long now = fleet.loop.nowTicks();
        if (!cold || now - startedAt > shape.warmUpTicks()) {
            return false;
        }
        arrivals.addLast(now);
        while (arrivals.peekFirst() < now - shape.overloadWindowTicks()) {
            arrivals.pollFirst();
        }
        double most =
                shape.overloadMultiple() * warmth() * shape.capacityPerSecond() * shape.overloadWindowTicks() / 10_000;
        if (arrivals.size() > most + SimulatedFleet.TIP_SLACK) {
            die(RecordTerms.StopReason.OVERLOADED);
            fleet.died(this);
            return true;
        }
        return false;
    }

    private void serve() {
        while (busy < shape.cores() && !room.isEmpty()) {
            Job j = room.pollFirst();
            if (j.left) {
                continue;
            }
            busy++;
            boolean crowded = busy >= shape.cores();
            TrafficRecord.RoutePolicy rule = shape.routePolicies().get(j.route);
            String mark = j.http.headers().get(HeaderNames.IDEMPOTENCY_KEY);
            boolean repeat = rule != null
                    && rule.idempotency() == RecordTerms.Idempotency.DEDUPLICATED
                    && mark != null
                    && fleet.marks(rule.deduplicationScope(), this)
                            .repeat(mark, fleet.loop.nowTicks(), rule.deduplicationWindowTicks());
            fleet.record(new TrafficRecord.AttemptExecuted(fleet.time(), id, run, j.req, j.no, repeat));
            long took = repeat ? 10 : work(j);
            j.end = fleet.loop.schedule(fleet.loop.nowTicks() + took, () -> done(j, took, crowded));
        }
    }

    private long work(Job j) {
        double work = shape.workTicks().getOrDefault(j.route, 100L)
                * build.workFactor()
                * (0.5 + fleet.chance())
                * (busy >= shape.cores() && !room.isEmpty() ? build.busyWorkFactor() : 1);
        String key = j.http.headers().get(HeaderNames.PARTITION_KEY);
        if (key != null) {
            long now = fleet.loop.nowTicks();
            Long met = keys.put(key, now);
            work *= met != null && met > now - shape.keyCacheTicks() ? 1 - shape.cachedKeySavings() : 1;
            if (keys.size() > 20_000) {
                keys.clear();
            }
        }
        return Math.max(1, (long) (work * (has(Fault.SLOW) ? slowBy : 1) * fleet.slowAll() / warmth()));
    }

    private void left(Job j) {
        j.left = true;
        if (j.end != null) {
            // the work stops with its req
            j.end.cancel();
            busy--;
            serve();
        }
    }

    private void done(Job j, long took, boolean crowded) {
        j.end = null;
        busy--;
        inHand.remove(j.from);
        meanMs += (took / 10.0 - meanMs) * 0.1;
        serve();
        if (has(Fault.LOSE_ANSWERS)) {
            inHand.put(j.from, j);
            j.left = true;
            return;
        }
        boolean acts = fleet.loop.nowTicks() - startedAt >= build.failureDelayTicks()
                && (build.interactingBuild() == 0
                        || !fleet.live(build.interactingBuild()).isEmpty());
        boolean fails = (acts && fleet.chance() < build.failureShares().getOrDefault(j.route, 0.0))
                || (crowded && fleet.chance() < build.busyFailureShare());
        String text = fleet.chance() < build.wrongAnswerShare() ? "wrong" : "right";
        HttpResponse a = answer(fails ? 500 : 200, fails ? "failed" : text, new byte[shape.responseBytes()]);
        if (has(Fault.RESET) || has(Fault.HALF)) {
            byte[] whole = bytes(a);
            byte[] half = java.util.Arrays.copyOf(whole, whole.length / 2);
            if (has(Fault.RESET)) {
                j.from.write(new HttpCodec.Raw(half)).addListener(f -> j.from.closeNow());
            } else {
                j.from.write(new HttpCodec.Raw(half));
            }
            return;
        }
        fleet.record(new TrafficRecord.AttemptAnswered(fleet.time(), id, run, j.req, j.no, a.status()));
        j.from.write(a);
    }

    private static byte[] bytes(HttpResponse a) {
        org.apache.mina.core.buffer.IoBuffer b = HttpWriter.write(a);
        byte[] out = new byte[b.remaining()];
        b.get(out);
        return out;
    }

    private HttpResponse answer(int status, String text, byte[] filler) {
        long now = fleet.loop.nowTicks();
        if (now >= loadAt) {
            loadAt = now + shape.loadReportIntervalTicks();
            loadTold = held();
            meanTold = meanMs;
        }
        byte[] body = filler == null || filler.length == 0 ? text.getBytes(UTF_8) : filler;
        byte[] start = text.getBytes(UTF_8);
        System.arraycopy(start, 0, body, 0, Math.min(start.length, body.length));
        return new HttpResponse(
                status,
                Headers.of(
                        "Content-Type",
                        "text/plain",
                        HeaderNames.BUILD,
                        Integer.toString(build.number()),
                        HeaderNames.LOAD_REPORT,
                        String.format(Locale.ROOT, "concurrent=%.0f,mean_ms=%.1f", loadTold, meanTold)),
                body);
    }
}
