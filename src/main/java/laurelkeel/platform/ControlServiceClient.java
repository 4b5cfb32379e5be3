package laurelkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.eventloop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The release desk: its news as events, and votes to it, each on a connection that nothing else is awaited on. Loop only. */
final class ControlServiceClient {
    private static final Logger LOG = LoggerFactory.getLogger(ControlServiceClient.class);
    private static final int LONGEST_LINE = 8 << 10;
    /** A sign of life comes every second. */
    private static final long SILENCE = 35_000;
    /** The desk closes what has been idle for some ten seconds; ours must not meet that with a vote. */
    private static final long VOTES_IDLE = 40_000;

    private static final Map<String, RolloutPhase> PHASES = Map.of(
            "Progressing",
            RolloutPhase.CANARY,
            "Aborting",
            RolloutPhase.ROLLING_BACK,
            "Healthy",
            RolloutPhase.RELEASED,
            "Aborted",
            RolloutPhase.ROLLED_BACK);
    private static final Map<Verdict, String> VERDICTS = Map.of(
            Verdict.NONE, "clear", Verdict.PROMOTE, "approve", Verdict.HOLD, "wait", Verdict.ROLL_BACK, "reject");
    private static final Map<String, ControlStatus> ERRORS = Map.of(
            "too_many_calls",
            ControlStatus.RATE_LIMITED,
            "out_of_date",
            ControlStatus.STALE,
            "unavailable",
            ControlStatus.FAILED,
            "bad_request",
            ControlStatus.FAILED);

    private final ServiceConnections links;
    private final EventLoop loop;
    private final long voteTimeout;
    private final ToIntFunction<String> routes;
    private final Consumer<Event> to;
    private final StreamConnection feed;
    private InetSocketAddress at;
    private boolean heard;
    private Ballots ballots;

    /** A connection for votes, one at a time. */
    private final class Ballots implements ServiceConnections.Heard {
        private final LineSplitter cutter = new LineSplitter(LONGEST_LINE);
        private final InetSocketAddress where = at;
        private final ServiceConnections.ServiceConnection link;
        private Action.CastVote vote;
        private EventLoop.ScheduledTask limit;
        private long idleSince;

        Ballots(Action.CastVote first) {
            vote = first;
            link = links.open(where, said(first), this);
        }

        /** Whether the next vote may go on it: it may have moved while one was answered. */
        boolean useful() {
            return link.open() && where.equals(at) && loop.nowTicks() <= idleSince + VOTES_IDLE;
        }

        void say(Action.CastVote next) {
            vote = next;
            link.write(said(next));
        }

        @Override
        public void bytes(byte[] bytes, long arrived) {
            try {
                cutter.take(bytes, text -> {
                    if (text.startsWith("*")) {
                        return;
                    }
                    if (vote == null) {
                        throw new MalformedMessageException(
                                "an answer that nothing asked for: " + MalformedMessageException.shown(text));
                    }
                    Event.RolloutUpdate n = answer(text, arrived);
                    vote = null;
                    limit.cancel();
                    idleSince = loop.nowTicks();
                    LOG.info(
                            "a vote was answered {}: build {} stage {} {}",
                            n.status(),
                            n.build(),
                            n.stage(),
                            n.phase());
                    to.accept(n);
                });
            } catch (MalformedMessageException e) {
                LOG.warn("the release desk answered a vote with what cannot be read: {}", e.getMessage());
                end(ControlStatus.TIMED_OUT);
            }
        }

        @Override
        public void closed(boolean written) {
            end(written ? ControlStatus.TIMED_OUT : ControlStatus.FAILED);
        }

        /** The connection is of no further use; a vote that awaits its answer there has none. */
        void end(ControlStatus as) {
            link.close();
            ballots = ballots == this ? null : ballots;
            if (limit != null) {
                limit.cancel();
            }
            if (vote != null) {
                LOG.info("a vote on build {} stage {} ends without an answer: {}", vote.build(), vote.stage(), as);
                vote = null;
                to.accept(unanswered(as));
            }
        }
    }

    ControlServiceClient(
            ServiceConnections links,
            EventLoop loop,
            long seed,
            long voteTimeout,
            ToIntFunction<String> routes,
            InetSocketAddress at,
            Consumer<Event> to) {
        this.links = links;
        this.loop = loop;
        this.voteTimeout = voteTimeout;
        this.routes = routes;
        this.at = at;
        this.to = to;
        feed = new StreamConnection("the release desk", links, loop, seed, at, SILENCE, () -> bytes("SUB\r\n"), () -> {
            LineSplitter cutter = new LineSplitter(LONGEST_LINE);
            return (bytes, arrived) -> {
                boolean[] told = new boolean[1];
                cutter.take(bytes, text -> {
                    told(text, arrived);
                    told[0] = true;
                });
                return told[0];
            };
        });
    }

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.US_ASCII);
    }

    void start() {
        feed.start();
    }

    void move(InetSocketAddress to) {
        at = to;
        feed.move(to);
        if (ballots != null && ballots.vote == null) {
            ballots.end(ControlStatus.FAILED);
        }
    }

    void close() {
        feed.close();
        if (ballots != null) {
            ballots.end(ControlStatus.FAILED);
        }
    }

    /** True once the desk has said something. */
    boolean heard() {
        return heard;
    }

    // ---- votes

    void vote(Action.CastVote v) {
        LOG.info("votes {} on build {} stage {}", v.verdict(), v.build(), v.stage());
        if (ballots != null && ballots.vote == null && !ballots.useful()) {
            ballots.end(ControlStatus.FAILED);
        }
        if (ballots != null && ballots.vote != null) {
            // its answer may still come there, and must not be matched to this one
            ballots.end(ControlStatus.TIMED_OUT);
        }
        if (ballots == null) {
            ballots = new Ballots(v);
        } else {
            ballots.say(v);
        }
        Ballots mine = ballots;
        mine.limit = loop.schedule(loop.nowTicks() + voteTimeout, () -> mine.end(ControlStatus.TIMED_OUT));
    }

    private static byte[] said(Action.CastVote v) {
        return bytes("SAY " + v.build() + " " + v.stage() + " " + VERDICTS.get(v.verdict()) + "\r\n");
    }

    private static Event.RolloutUpdate unanswered(ControlStatus as) {
        return new Event.RolloutUpdate(as, 0, 0, 0, RolloutPhase.CANARY, 0, true);
    }

    private Event.RolloutUpdate answer(String text, long arrived) throws MalformedMessageException {
        String[] w = text.split(" ", -1);
        if (w[0].equals("OK") && w.length == 6) {
            return news(w, 1, arrived, true);
        }
        ControlStatus as = w[0].equals("ERR") && w.length == 2 ? ERRORS.get(w[1]) : null;
        if (as == null) {
            throw new MalformedMessageException(MalformedMessageException.shown(text));
        }
        return unanswered(as);
    }

    // ---- what it tells

    private void told(String text, long arrived) throws MalformedMessageException {
        String[] w = text.split(" ", -1);
        if (text.equals("OK") || text.equals("*")) {
            heard = true;
        } else if (w[0].equals("*") && w[1].equals("progress") && w.length == 7) {
            heard = true;
            to.accept(news(w, 2, arrived, false));
        } else if (w[0].equals("*") && w[1].equals("metrics") && w.length == 8) {
            int route = routes.applyAsInt(w[3]);
            if (route < 0) {
                throw new MalformedMessageException("no route: " + MalformedMessageException.shown(text));
            }
            to.accept(new Event.BuildStatistics(
                    (int) whole(w[2]),
                    route,
                    whole(w[4]),
                    whole(w[5]),
                    (long) (number(w[6]) * 10),
                    age(w[7], arrived)));
        } else if (!(w[0].equals("*") && w[1].equals("complaint"))) {
            throw new MalformedMessageException(MalformedMessageException.shown(text));
        }
    }

    private Event.RolloutUpdate news(String[] w, int i, long arrived, boolean toVote) throws MalformedMessageException {
        RolloutPhase phase = PHASES.get(w[i + 2]);
        double cap = number(w[i + 3]);
        if (phase == null || cap > 1) {
            throw new MalformedMessageException(MalformedMessageException.shown(String.join(" ", w)));
        }
        return new Event.RolloutUpdate(
                ControlStatus.OK, (int) whole(w[i + 1]), cap, age(w[i + 4], arrived), phase, (int) whole(w[i]), toVote);
    }

    /** Counted from when the bytes came, not from when the loop got to them. */
    private long age(String ms, long arrived) throws MalformedMessageException {
        return (long) Math.floor(number(ms) * 10) + Math.max(0, loop.nowTicks() - arrived);
    }

    private static long whole(String s) throws MalformedMessageException {
        try {
            long n = Long.parseLong(s);
            if (n >= 0 && n <= Integer.MAX_VALUE) {
                return n;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new MalformedMessageException("no whole number: " + MalformedMessageException.shown(s));
    }

    private static double number(String s) throws MalformedMessageException {
        try {
            double d = Double.parseDouble(s);
            if (d >= 0 && !Double.isInfinite(d)) {
                return d;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new MalformedMessageException("no number: " + MalformedMessageException.shown(s));
    }

    /** The state that the configuration holds; null where it holds none that can be read. */
    static Event.RolloutUpdate known(JsonNode n) {
        RolloutPhase phase = n == null ? null : PHASES.get(n.path("phase").asText(""));
        return phase == null || !n.path("build").isIntegralNumber()
                ? null
                : new Event.RolloutUpdate(
                        ControlStatus.OK,
                        n.path("stage").asInt(0),
                        n.path("cap").asDouble(0),
                        (long) (n.path("age_ms").asDouble(0) * 10),
                        phase,
                        n.path("build").asInt(),
                        false);
    }
}
