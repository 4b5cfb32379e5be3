package laurelkeel.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import laurelkeel.attribution.AttributionFinding;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordTerms;
import laurelkeel.records.TrafficRecord;

/**
 * The rollout platform as a stand-in: it puts new builds on part of the fleet stage by stage, one or several at once,
 * counts the votes of fronts, goes on or back, and tells all that late. It pools the fronts' reports and tells whom
 * the blame falls on. It can stall and be late beyond its use. All on the loop's thread but for the sockets.
 */
public final class RolloutService {

    public enum PromotionPolicy {
        FIRST_VOTE,
        VOTE_COUNT,
        AUTOMATIC
    }

    public enum ReplacementStyle {
        REPLACE,
        BESIDE
    }

    /** Times in tenths of a millisecond. shares and caps by stage; together: builds on trial at once. */
    public record RolloutPolicy(
            List<Double> stageServerShares,
            List<Double> stageExposureCaps,
            PromotionPolicy promotion,
            ReplacementStyle replacement,
            int promoteVotes,
            int rollBackVotes,
            int holdVotes,
            long minStageTicks,
            long voteLifetimeTicks,
            double votesPerSecond,
            long updateDelayTicks,
            long updateIntervalTicks,
            long serverStartTicks,
            long maxDrainTicks,
            int maxConcurrentRollouts) {}

    private static final long BLAME_EVERY = 10_000, LAST_REPORTS = 80_000;

    private final EventLoop loop;
    private final SimulatedFleet fleet;
    private final RolloutPolicy rule;
    private final Consumer<TrafficRecord> records;
    private final JsonLineService service = new JsonLineService();
    private final TreeMap<Integer, OfferedRelease> offers = new TreeMap<>();
    private final ArrayDeque<BuildProfile> waiting = new ArrayDeque<>();
    private final AttributionService blaming;
    private final Map<Integer, String> words = new TreeMap<>();
    private OfferedRelease newest;
    private BuildProfile base;
    private volatile long stalledUntil = Long.MIN_VALUE, lateUntil = Long.MIN_VALUE;
    private volatile long lateBy;
    private double tokens;
    private long tokensAt;
    private int places;

    public RolloutService(
            EventLoop loop, SimulatedFleet fleet, RolloutPolicy rule, int routes, Consumer<TrafficRecord> records)
            throws IOException {
        this.loop = loop;
        this.fleet = fleet;
        this.rule = rule;
        this.records = records;
        this.tokens = 2 * rule.votesPerSecond();
        this.blaming = new AttributionService(routes);
        service.on("/release/watch", this::watch);
        service.on("/release/votes", this::voted);
        service.on("/release/reports", this::reported);
        service.on("/release/blame", x -> JsonLineService.say(x, 200, asked(blaming::told)));
    }

    /** Starts the fleet's first machines, warm, on a released build. */
    public InetSocketAddress start(BuildProfile first, int machines) {
        base = first;
        places = machines;
        newest = new OfferedRelease(first);
        newest.move(0, RecordTerms.RolloutPhase.RELEASED, 1, loop.nowTicks());
        offers.put(first.number(), newest);
        for (int i = 0; i < machines; i++) {
            fleet.start(null, first, i, false);
        }
        records.accept(newest.record());
        service.start();
        loop.schedule(loop.nowTicks() + rule.updateIntervalTicks(), this::again);
        loop.schedule(loop.nowTicks() + 500, this::tick);
        loop.schedule(loop.nowTicks() + BLAME_EVERY, this::judge);
        return service.address();
    }

    public void close() {
        service.close();
    }

    /** Says nothing and answers no vote for a while, though some count. */
    public void stall(long until) {
        stalledUntil = until;
        loop.schedule(until, this::tell);
    }

    /** Tells its news later than usual for a while. */
    public void late(long until, long by) {
        lateUntil = until;
        lateBy = by;
    }

    public int stage() {
        return newest.stage;
    }

    public RecordTerms.RolloutPhase phase() {
        return newest.phase;
    }

    public BuildProfile newest() {
        return newest.build;
    }

    /** What is known of all releases, one line. */
    public String standing() {
        StringBuilder s = new StringBuilder();
        for (OfferedRelease o : offers.values()) {
            s.append(s.length() == 0 ? "" : "; ")
                    .append("build ")
                    .append(o.build.number())
                    .append(" stage ")
                    .append(o.stage)
                    .append(' ')
                    .append(o.phase
                            .storedName()
                            .toLowerCase(java.util.Locale.ROOT)
                            .replace('_', ' '));
        }
        return s.toString();
    }

    private long onTrial() {
        return offers.values().stream().filter(o -> !o.over()).count();
    }

    /** Offers a build; where no more may be on trial one that is alone goes back first, and of several it waits. */
    public void offer(BuildProfile b) {
        if (onTrial() < rule.maxConcurrentRollouts()) {
            begin(b);
            return;
        }
        waiting.addLast(b);
        if (rule.maxConcurrentRollouts() == 1) {
            offers.values().stream().filter(OfferedRelease::onTrial).toList().forEach(this::back);
        }
    }

    private void begin(BuildProfile b) {
        OfferedRelease o = new OfferedRelease(b);
        newest = o;
        offers.put(b.number(), o);
        blaming.offered(b.number(), loop.nowTicks());
        move(o, 0, RecordTerms.RolloutPhase.CANARY);
    }

    private void move(OfferedRelease o, int to, RecordTerms.RolloutPhase as) {
        o.move(
                to,
                as,
                as == RecordTerms.RolloutPhase.CANARY
                        ? rule.stageExposureCaps().get(to)
                        : as == RecordTerms.RolloutPhase.RELEASED ? 1 : 0,
                loop.nowTicks());
        records.accept(o.record());
        tell();
        if (as == RecordTerms.RolloutPhase.CANARY) {
            fill(o);
        }
        if (as == RecordTerms.RolloutPhase.RELEASED) {
            released(o);
        }
        if (o.over()) {
            // votes can be quicker than reports: what is on its way still says whether they were right
            loop.schedule(
                    loop.nowTicks() + (as == RecordTerms.RolloutPhase.RELEASED ? 0 : LAST_REPORTS),
                    () -> blaming.ended(o.build.number(), as == RecordTerms.RolloutPhase.RELEASED));
            // the news of what has ended is still told for a while
            loop.schedule(loop.nowTicks() + 20 * 10_000, () -> {
                if (o != newest && o.build != base) {
                    offers.remove(o.build.number(), o);
                }
            });
            if (!waiting.isEmpty() && onTrial() < rule.maxConcurrentRollouts()) {
                begin(waiting.pollFirst());
            }
        }
    }

    private void released(OfferedRelease o) {
        base = o.build;
        for (OfferedRelease other : List.copyOf(offers.values())) {
            if (other.onTrial() && other.build.number() < o.build.number()) {
                back(other);
            }
        }
        // beside: the earlier machines go only now
        fleet.live().stream()
                .filter(m -> m.build.number() < o.build.number())
                .forEach(m -> fleet.drain(m, rule.maxDrainTicks()));
    }

    private int liveOnOtherTrials(OfferedRelease o) {
        return offers.values().stream()
                .filter(x -> x != o && x.onTrial())
                .mapToInt(x -> fleet.live(x.build.number()).size() + x.replacing)
                .sum();
    }

    /** Starts as many machines as the stage asks for, one by one, each in place of an earlier one. */
    private void fill(OfferedRelease o) {
        int wanted = (int) Math.ceil(rule.stageServerShares().get(o.stage) * (places - liveOnOtherTrials(o)) - 1e-9);
        int have = fleet.live(o.build.number()).size() + o.replacing;
        o.readyAt = loop.nowTicks();
        for (int i = have; i < wanted; i++) {
            o.replacing++;
            int place = i;
            long at = loop.nowTicks()
                    + rule.serverStartTicks() / 2
                    + (long) (fleet.chance() * rule.serverStartTicks() / 2);
            o.readyAt = Math.max(o.readyAt, at);
            loop.schedule(at, () -> {
                o.replacing--;
                if (!o.onTrial() && o.phase != RecordTerms.RolloutPhase.RELEASED) {
                    return;
                }
                SimulatedServer earlier = earlier(o);
                fleet.start(null, o.build, place, true);
                if (rule.replacement() == ReplacementStyle.REPLACE && earlier != null) {
                    fleet.drain(earlier, rule.maxDrainTicks());
                }
            });
        }
    }

    /** A machine to give way: of the build that serves beside, and of other trials only once nothing else is left. */
    private SimulatedServer earlier(OfferedRelease o) {
        List<SimulatedServer> all = fleet.live().stream()
                .filter(m -> m.build.number() < o.build.number())
                .toList();
        return all.stream()
                .filter(m -> {
                    OfferedRelease of = offers.get(m.build.number());
                    return of == null || !of.onTrial();
                })
                .findFirst()
                .orElse(all.isEmpty() || onTrial() > 1 ? null : all.get(0));
    }

    private void back(OfferedRelease o) {
        move(o, o.stage, RecordTerms.RolloutPhase.ROLLING_BACK);
        int missing = places
                - fleet.live().stream()
                        .mapToInt(m -> m.build.number() != o.build.number() ? 1 : 0)
                        .sum();
        BuildProfile b = base;
        for (int i = 0; i < missing; i++) {
            int place = i;
            loop.schedule(
                    loop.nowTicks()
                            + rule.serverStartTicks() / 2
                            + (long) (fleet.chance() * rule.serverStartTicks() / 2),
                    () -> fleet.start(null, b, place, true));
        }
        fleet.live(o.build.number()).forEach(m -> fleet.drain(m, rule.maxDrainTicks()));
        loop.schedule(
                loop.nowTicks() + rule.serverStartTicks() + rule.maxDrainTicks(),
                () -> move(o, o.stage, RecordTerms.RolloutPhase.ROLLED_BACK));
    }

    private void judge() {
        loop.schedule(loop.nowTicks() + BLAME_EVERY, this::judge);
        for (AttributionFinding f : blaming.judge(loop.nowTicks())) {
            String word = blaming.word(f.build());
            if (!word.equals(words.put(f.build(), word))) {
                records.accept(new TrafficRecord.AttributionPublished(
                        RecordClock.nowTicks(), f.build(), word, f.probability(), f.evidence()));
            }
            OfferedRelease o = offers.get(f.build());
            if (f.setAside() && o != null && o.onTrial()) {
                blaming.setAside(f.build());
                back(o);
            }
        }
        if (onTrial() > 0) {
            tell();
        }
    }

    private void tick() {
        loop.schedule(loop.nowTicks() + 500, this::tick);
        for (OfferedRelease o : List.copyOf(offers.values())) {
            tick(o);
        }
    }

    private void tick(OfferedRelease o) {
        boolean late =
                o.phase == RecordTerms.RolloutPhase.RELEASED && o == newest && o.build == base && offers.size() > 1;
        if ((o.onTrial() || late) && o.count("back", loop.nowTicks()) >= Math.max(1, rule.rollBackVotes())) {
            if (late) {
                int before = o.build.number();
                base = offers.headMap(before).isEmpty()
                        ? BuildProfile.healthy(before - 1)
                        : offers.lowerEntry(before).getValue().build;
            }
            back(o);
            return;
        }
        if (!o.onTrial() || loop.nowTicks() < stalledUntil) {
            return;
        }
        boolean held = rule.promotion() == PromotionPolicy.AUTOMATIC
                && ((rule.holdVotes() > 0 && o.count("hold", loop.nowTicks()) >= rule.holdVotes())
                        || (onTrial() > 1 && blaming.word(o.build.number()).equals("open")));
        o.held(held, loop.nowTicks());
        boolean longEnough = loop.nowTicks() >= Math.max(o.since, o.readyAt) + rule.minStageTicks() + o.heldFor;
        boolean voted =
                switch (rule.promotion()) {
                    case FIRST_VOTE -> o.count("on", loop.nowTicks()) >= 1;
                    case VOTE_COUNT -> o.count("on", loop.nowTicks()) >= Math.max(1, rule.promoteVotes());
                    case AUTOMATIC -> !held;
                };
        if (longEnough && voted) {
            if (o.stage + 1 < rule.stageServerShares().size()) {
                move(o, o.stage + 1, RecordTerms.RolloutPhase.CANARY);
            } else {
                move(o, o.stage, RecordTerms.RolloutPhase.RELEASED);
            }
        }
    }

    private Map<String, Object> news(OfferedRelease o, String kind, String answer) {
        Map<String, Object> n = o.news(kind, answer, loop.clockTicks());
        n.put(
                "standing",
                offers.values().stream()
                        .filter(x -> x.phase != RecordTerms.RolloutPhase.ROLLED_BACK)
                        .map(x -> x.build.number())
                        .toList());
        n.put(
                "blame",
                onTrial() > 1 || blaming.word(o.build.number()).equals("guilty")
                        ? blaming.word(o.build.number())
                        : "none");
        return n;
    }

    private void again() {
        loop.schedule(loop.nowTicks() + rule.updateIntervalTicks(), this::again);
        tell();
    }

    /** Tells each watcher by itself, each with its own lag. */
    private void tell() {
        if (loop.nowTicks() < stalledUntil) {
            return;
        }
        long seenAt = loop.nowTicks();
        List<Map<String, Object>> all =
                offers.values().stream().map(o -> news(o, "news", null)).toList();
        for (JsonLineService.Watcher w : new ArrayList<>(service.watchers)) {
            long lag = (long) (rule.updateDelayTicks() * (0.5 + fleet.chance() / 2))
                    + (loop.nowTicks() < lateUntil ? lateBy : 0);
            w.lastDue = Math.max(w.lastDue, loop.nowTicks() + lag);
            loop.schedule(
                    w.lastDue,
                    () -> all.forEach(n -> {
                        Map<String, Object> late = new LinkedHashMap<>(n);
                        late.put("ageMs", (double) n.get("ageMs") + (loop.nowTicks() - seenAt) / 10.0);
                        w.tell(late);
                    }));
        }
    }

    private void watch(HttpExchange x) throws IOException {
        if (loop.clockTicks() < stalledUntil) {
            JsonLineService.say(x, 503, null);
            return;
        }
        JsonLineService.Watcher w = new JsonLineService.Watcher();
        loop.post(() -> offers.values().forEach(o -> w.tell(news(o, "news", null))));
        service.stream(x, w);
    }

    private <T> T asked(java.util.function.Supplier<T> what) throws IOException {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.post(() -> answer.complete(what.get()));
        try {
            return answer.get(5, TimeUnit.SECONDS);
        } catch (InterruptedException
                | java.util.concurrent.ExecutionException
                | java.util.concurrent.TimeoutException e) {
            throw new IOException(e);
        }
    }

    private void reported(HttpExchange x) throws IOException {
        if (loop.clockTicks() < stalledUntil) {
            JsonLineService.say(x, 503, null);
            return;
        }
        JsonNode r = JsonLineService.JSON.readTree(x.getRequestBody());
        String fault = asked(() -> String.valueOf(blaming.take(r, loop.nowTicks())));
        boolean bad = fault.startsWith("a report");
        JsonLineService.say(x, bad ? 400 : 200, Map.of("answer", fault.equals("null") ? "ok" : fault));
    }

    private void voted(HttpExchange x) throws IOException {
        JsonNode v = JsonLineService.JSON.readTree(x.getRequestBody());
        Map<String, Object> a = asked(() -> vote(
                v.path("front").asInt(),
                v.path("build").asInt(),
                v.path("stage").asInt(),
                v.path("verdict").asText()));
        if (a == null) {
            // no answer at all: the caller's own time-out ends it
            try {
                Thread.sleep(5_000);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return;
        }
        JsonLineService.say(x, 200, a);
    }

    private Map<String, Object> vote(int front, int build, int at, String verdict) {
        tokens = Math.min(
                2 * rule.votesPerSecond(), tokens + (loop.nowTicks() - tokensAt) / 10_000.0 * rule.votesPerSecond());
        tokensAt = loop.nowTicks();
        String answer;
        boolean stalled = loop.nowTicks() < stalledUntil;
        boolean counts = !stalled || fleet.chance() < 0.5;
        OfferedRelease o = offers.get(build);
        boolean judged =
                o != null && (o.onTrial() || (o.phase == RecordTerms.RolloutPhase.RELEASED && verdict.equals("back")));
        if (tokens < 1) {
            answer = "over-limit";
        } else if (!judged
                || (verdict.equals("on") && (at != o.stage || rule.promotion() == PromotionPolicy.AUTOMATIC))) {
            answer = "moot";
        } else {
            answer = "ok";
            tokens--;
            if (counts) {
                o.vote(front, at, verdict, loop.nowTicks() + rule.voteLifetimeTicks());
            }
        }
        records.accept(new TrafficRecord.VoteReceived(
                RecordClock.nowTicks(), front, build, at, verdict, stalled ? "none" : answer));
        return stalled ? null : news(o == null ? newest : o, "vote", answer);
    }
}
