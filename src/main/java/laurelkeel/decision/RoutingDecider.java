package laurelkeel.decision;

import java.util.*;
import java.util.function.ToIntFunction;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.*;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.*;
import laurelkeel.api.Ticks;

/**
 * All decisions of one front: which build and machine each req goes to, when it is tried again or given up,
 * and how the front votes on a rollout.
 *
 * <p>Callers make one Shifter a front (Decider.Maker) and call decide with the present moment and all learned
 * since; the actions that come back take effect at that moment, in order. The interface is the package
 * laurelkeel.api: Event in, Action out, Settings at the start. Instances share nothing; the only clock is the
 * caller's, in tenths of a millisecond. The mechanism is explained in docs/design.md.
 */
public final class RoutingDecider implements Decider {
    private static final long SECOND = Ticks.PER_SECOND;

    // ---- tuned values; docs/design.md says what each was tried against
    private static final double TARGET = 0.8;
    private static final double RESERVE = 0.15;
    private static final double RAMP = 1.25;
    private static final long READY = 3 * SECOND;
    private static final double MARGIN = 0.02;
    private static final double SURE = 3.0;
    private static final int SPAN = 5;
    private static final int LEAST = 20;
    private static final int LEAST_FAILS = 3;
    private static final double OWN_FAULT = 0.05;
    private static final int LEAST_COMPLAINTS = 5;
    private static final double SLOWER = 2;
    private static final long MEMORY = 30 * SECOND;
    private static final long TICK = SECOND / 10;
    private static final long LAST_CALL = 150;
    private static final long WINDOW_EDGE = 60;
    private static final double CROSS = 8;
    private static final double PILE = 1.3;
    private static final double WAITING = 0.1;
    private static final double MOST_ILL = 0.125;
    private static final double COLD_USE = 0.7;
    private static final double SHARED = 1.4;
    private static final int LASTING = 10;
    private static final double MORE = 1.3;
    private static final long AFTER_RELEASE = 25 * SECOND;
    private static final int LEVELS = 12;
    private static final int CALM_RUN = 100;
    private static final double CALM_DRIFT = 1.02;
    private static final double YIELD = 0.7;
    private static final long FRESH = 2 * SECOND;
    private static final double ERRS_RATE = 0.1;
    private static final double ERRS_SICK = 0.25;
    private static final double ERRS_MORE = 2.5;
    private static final int ERRS_HEARD = 5;

    /** One upstream try, with the machine as it was when sent to: an id can come back as another machine. */
    private record Try(int no, Machine to, long sentAt, boolean settled, int openThen, int level) {}

    /** One req this front has taken. */
    private static final class Rq {
        final RequestReceived is;
        final long takenAt, endBy;
        final double fraction;
        int tries;
        Try out;
        Try firstMayHaveRun;
        boolean repeat, keptOffTrial, stopped, wantEnd, ended;
        Cell failedIn;
        Set<Machine> met = Set.of();
        // wanted
        Machine want;
        long within;

        Rq(RequestReceived is, long takenAt, double fraction) {
            this.is = is;
            this.takenAt = takenAt;
            this.fraction = fraction;
            this.endBy = is.deadlineTicks() - LAST_CALL;
        }
    }

    /** One machine, as long as the list names it. */
    private static final class Machine {
        final String id;
        final int build, zone, cell;
        final long started;
        double size;
        boolean live;
        int open, strikes, paced, heard;
        long outUntil, fullUntil, answeredAt, luckUntil;
        double credit, wait, others, errs;
        boolean errsAlone;
        double pace = 1, usualOpen = 1, luck;
        final double far;
        final double ringPlace;
        boolean weighed, inRotation;
        Side side = new Side(List.of());
        int at;
        final SlidingWindow sends = new SlidingWindow();

        Machine(EndpointEntry is, double far) {
            this.far = far;
            ringPlace = EndpointSubset.ringPosition(is.endpointId());
            id = is.endpointId();
            build = is.build();
            zone = is.zone();
            cell = is.cell();
            started = is.startedAtTicks();
        }

        boolean ill() {
            return strikes >= 2 || errsAlone;
        }
    }

    /**
     * The live machines of one build, by id, until the next list. What the rotation asks of each at every req
     * stands in rows of its own, kept as it changes: a walk over the machines themselves cost most of a req.
     */
    private static final class Side {
        final List<Machine> live;
        final double[] weight, strain, credit;
        final int[] all, fit, struck;
        /** Those that are asked in turn. */
        int[] rotation;

        int strucks;
        boolean warm, plain;
        double size;

        Side(List<Machine> live) {
            this.live = live;
            int n = live.size();
            weight = new double[n];
            strain = new double[n];
            credit = live.stream().mapToDouble(m -> m.credit).toArray();
            all = java.util.stream.IntStream.range(0, n).toArray();
            fit = new int[n];
            struck = new int[n];
            rotation = all;
        }

        void rotate(EndpointSubset by) {
            double[] places = live.stream().mapToDouble(m -> m.ringPlace).toArray();
            boolean[] near = new boolean[places.length];
            boolean[] suspect = new boolean[places.length];
            boolean[] asked = new boolean[places.length];
            for (int i = 0; i < near.length; i++) {
                near[i] = live.get(i).far == 0;
                suspect[i] = live.get(i).ill();
                asked[i] = live.get(i).inRotation;
                live.get(i).inRotation = false;
            }
            rotation = by.select(places, near, suspect, asked);
            for (int i : rotation) {
                live.get(i).inRotation = true;
            }
            plain = false;
        }

        /** Its rotation has lost machines to suspicion, and others could take their places. */
        boolean needsOthers() {
            return rotation.length < all.length
                    && Arrays.stream(rotation).filter(i -> live.get(i).ill()).count() > MOST_ILL * rotation.length;
        }
    }

    /** What one build did on one route in one second. */
    private static final class Cell {
        int tries, fails, cured, complaints, rated;
        double ratio, square;

        void rate(double how) {
            rated++;
            ratio += how;
            square += how * how;
        }

        void add(Cell o) {
            tries += o.tries;
            fails += o.fails;
            cured += o.cured;
            complaints += o.complaints;
            rated += o.rated;
            ratio += o.ratio;
            square += o.square;
        }
    }

    /** One second of the instance: outcomes by build and route, and how slow each machine was. */
    private static final class Second {
        final Map<Integer, Cell[]> builds = new TreeMap<>();
        int taken, sends, trialSends;
        final Map<String, double[]> paces = new TreeMap<>();

        /** What two thirds of the machines exceed: half of them slow is no slow fleet; 0 for too few. */
        double pace() {
            double[] means = paces.values().stream()
                    .mapToDouble(v -> v[0] / v[1])
                    .sorted()
                    .toArray();
            return means.length < 3 ? 0 : means[means.length / 3];
        }
    }

    /** How long one route's answers take: usually, by crowding, and in calm. */
    private static final class Times {
        final double[] usual = new double[LEVELS];
        final int[] seen = new int[LEVELS];
        double spread = 0.5, calm, runSum, recent;
        int runCount, open;
        boolean ran;

        Times(double calm) {
            this.calm = calm;
        }
    }

    // ---- the instance's own
    private final Settings set;
    private final SeededRandom random;
    private long now;
    private final Map<String, Rq> reqs = new HashMap<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Map<Integer, Side> sides = new LinkedHashMap<>();
    private final EndpointSubset rotation;
    private long nextRotation;
    private int newestLive = Integer.MIN_VALUE;
    private double liveSize;
    private final LinkedHashSet<Rq> touched = new LinkedHashSet<>();
    private final DeadlineQueue<Rq> alarms = new DeadlineQueue<>();
    private long armedFor = Long.MAX_VALUE;
    private long nextTick, tickedAt;
    private double span = 3;
    private final List<Times> times = new ArrayList<>();
    private final RetryBudget retryBudget = new RetryBudget();
    private final double sure;
    private double answered, wait, places;
    private int answeredNow;

    // the trial
    private int newsBuild = -1;
    private RolloutPhase phase = RolloutPhase.ROLLED_BACK;
    private int stage;
    private double cap;
    private long stageSince;
    private int trial = -1, base = -1, rival = -1;
    private double baseAtStart, threshold;
    private final StickyKeys pins = new StickyKeys();
    private final TreeSet<Integer> released = new TreeSet<>(Set.of(-1));
    private final Set<Integer> takenOff = new HashSet<>();
    private final List<SlidingWindow> taken = new ArrayList<>();
    private final Map<Integer, List<SlidingWindow>> exposed = new HashMap<>();
    private final ClientRetryDetector clientRetries = new ClientRetryDetector();
    private final TreeMap<Long, Second> seconds = new TreeMap<>();
    /** What the platform counted of all fronts' tries. */
    private final TreeMap<Long, Second> counted = new TreeMap<>();

    // the vote
    private Action.CastVote stands, asked;
    private long askedAt = Long.MIN_VALUE / 2;
    private long stoodAt, nextVerdict;
    private String reason;

    private final EndpointPoller poller;

    private final List<Action> out = new ArrayList<>();

    public RoutingDecider(Settings settings, long seed) {
        this.set = settings;
        this.rotation = new EndpointSubset(settings.nodeIndex(), settings.nodeCount());
        this.random = new SeededRandom(seed);
        this.poller = new EndpointPoller(
                settings.capabilities().endpointPolling(), settings.limits().maxPollIntervalTicks());
        // of many fronts, some see a lead by mere chance: the fewer votes send a build back, the surer each
        int enough = Math.max(1, settings.rollout().rollBackVotes());
        sure = Math.sqrt(SURE * SURE + 2 * Math.log(Math.max(1, settings.nodeCount() / (double) enough)));
        // until answers tell: an even part of what the customers may ask
        double quota =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
        answered = quota > 0 ? quota / settings.nodeCount() : 1;
        for (Route route : settings.routes()) {
            times.add(new Times(route.latencyObjectiveTicks() / 5.0));
            taken.add(new SlidingWindow());
        }
    }

    @Override
    public List<Action> decide(long moment, List<Event> events) {
        now = moment;
        out.clear();
        for (Event e : events) {
            learn(e);
        }
        findBuilds();
        while (alarms.nextAtTicks() <= now) {
            for (Rq rq : alarms.removeNext()) {
                // most have long ended: nothing is left to want for them
                if (!rq.ended || rq.out != null) {
                    touched.add(rq);
                }
            }
        }
        if (now >= nextTick) {
            nextTick = now + TICK;
            tidy();
            findErrsAlone();
            adaptRotation();
            raiseThreshold();
        }
        for (Rq rq : List.copyOf(touched)) {
            place(rq);
        }
        emit(wantedVote());
        return List.copyOf(out);
    }

    private void learn(Event e) {
        if (e instanceof RequestReceived r) {
            take(r);
        } else if (e instanceof AttemptEnded t) {
            tryEnded(t);
        } else if (e instanceof ClientDisconnected c) {
            Rq rq = reqs.get(c.requestId());
            if (rq != null) {
                rq.ended = true;
                touched.add(rq);
            }
        } else if (e instanceof EndpointListUpdate l) {
            readList(l);
        } else if (e instanceof RolloutUpdate n) {
            readNews(n);
        } else if (e instanceof ComplaintReceived c) {
            Machine m = machines.get(c.endpointId());
            if (m != null) {
                cell(seconds, now - c.sentAgoTicks(), m.build, c.route()).complaints++;
            }
        } else if (e instanceof BuildStatistics b) {
            Cell c = cell(counted, now - b.ageTicks(), b.build(), b.route());
            c.tries += b.attempts();
            c.fails += b.errors();
        } else if (e instanceof TimerFired) {
            armedFor = Long.MAX_VALUE;
        }
    }

    // ---- the list

    private void readList(EndpointListUpdate l) {
        poller.updateReceived(l.kind(), now);
        if (l.kind() == EndpointListKind.FAILED) {
            return;
        }
        Set<String> named = new HashSet<>();
        for (EndpointEntry i : l.entries()) {
            named.add(i.endpointId());
            Machine m = machines.get(i.endpointId());
            if (m == null || m.started != i.startedAtTicks() || m.build != i.build()) {
                // what was learned of the id before says nothing of the machine that now has it
                // a crossing counts as so much held
                m = new Machine(
                        i, i.zone() == set.zone() ? 0 : CROSS * set.costs().crossZone());
                machines.put(m.id, m);
                m.luck = random.nextDouble();
                m.luckUntil = now + set.limits().overloadWindowTicks();
                // fronts that all began their turns at the same machine would meet there
                m.credit = (random.nextDouble() - 0.5)
                        * i.weight()
                        * Math.max(machines.size(), l.entries().size());
            }
            m.size = Math.max(i.weight(), 1e-3);
            m.live = i.state() == EndpointState.ACTIVE;
        }
        if (l.kind() != EndpointListKind.DELTA) {
            machines.values().forEach(m -> m.live &= named.contains(m.id));
        }
        machines.values().removeIf(m -> !m.live && m.open == 0 && !named.contains(m.id));
        for (Side old : sides.values()) {
            old.live.forEach(m -> m.credit = old.credit[m.at]);
        }
        sides.clear();
        Map<Integer, List<Machine>> builds = new LinkedHashMap<>();
        machines.values().stream().filter(m -> m.live).forEach(m -> builds.computeIfAbsent(
                        m.build, k -> new ArrayList<>())
                .add(m));
        builds.forEach((build, live) -> {
            Side side = new Side(live);
            side.rotate(rotation);
            sides.put(build, side);
            for (int i = 0; i < live.size(); i++) {
                live.get(i).side = side;
                live.get(i).at = i;
                live.get(i).weighed = false;
            }
        });
        newestLive = sides.keySet().stream().mapToInt(b -> b).max().orElse(Integer.MIN_VALUE);
        liveSize = machines.values().stream()
                .filter(m -> m.live)
                .mapToDouble(m -> m.size)
                .sum();
    }

    private void readNews(RolloutUpdate n) {
        if (n.answersVote() && asked != null) {
            if (n.status() == ControlStatus.OK) {
                stands = asked;
                stoodAt = askedAt;
            }
            asked = null;
        }
        if (n.status() != ControlStatus.OK || n.build() < newsBuild) {
            return;
        }
        if (n.build() != newsBuild || n.stage() != stage || n.phase() != phase) {
            stageSince = now - n.ageTicks();
            out.add(new Action.WriteLog("build " + n.build() + " stage " + n.stage() + " " + n.phase()));
        }
        newsBuild = n.build();
        stage = n.stage();
        phase = n.phase();
        cap = n.exposureCap();
        if (phase == RolloutPhase.ROLLING_BACK || phase == RolloutPhase.ROLLED_BACK) {
            takenOff.add(newsBuild);
            released.remove(newsBuild);
            pins.buildRolledBack(newsBuild);
        } else if (phase == RolloutPhase.RELEASED) {
            released.add(newsBuild);
            pins.buildReleased(newsBuild);
        }
    }

    private double warmth(Machine m) {
        double share = m.started == 0
                ? 1
                : Math.min(1, (now - m.started) / (double) set.limits().warmUpTicks());
        return set.limits().warmUpInitialShare() + (1 - set.limits().warmUpInitialShare()) * Math.max(0, share);
    }

    private boolean warm(Machine m) {
        return m.started == 0 || now - m.started >= set.limits().warmUpTicks();
    }

    private double warmSize(int build) {
        Side side = sides.get(build);
        if (side != null && !side.warm) {
            side.size = side.live.stream().mapToDouble(m -> m.size * warmth(m)).sum();
            side.warm = side.live.stream().allMatch(this::warm);
        }
        return side == null ? 0 : side.size;
    }

    /** Which build is on trial and which is the earlier one; a build not yet in the news is on trial. */
    private void findBuilds() {
        int newest = Math.max(newsBuild, newestLive);
        int onTrial = phase == RolloutPhase.CANARY ? newsBuild : newest > newsBuild && newsBuild >= 0 ? newest : -1;
        int earlier = -1;
        if (phase == RolloutPhase.RELEASED) {
            earlier = newsBuild;
        } else {
            double most = 0;
            for (int build : sides.keySet()) {
                boolean open = (newsBuild < 0 || build < newsBuild) && build >= released.last();
                double size = open ? warmSize(build) : 0;
                if (size > most && !takenOff.contains(build)) {
                    most = size;
                    earlier = build;
                }
            }
            // a build called back after its release was the base until now: it must not stay that
            earlier = earlier < 0 && base < newsBuild && !takenOff.contains(base) ? base : earlier;
        }
        if (onTrial != trial) {
            trial = onTrial;
            threshold = 0;
            baseAtStart = 0;
        }
        base = earlier;
        rival = trial >= 0 ? base : rival;
        places = Math.max(liveSize, places * 0.9999);
        baseAtStart = Math.max(baseAtStart, warmSize(base));
    }

    // ---- exposure

    private double trialCap() {
        return trial > newsBuild ? set.rollout().stageExposureCaps().get(0) : cap;
    }

    private int trialStage() {
        return trial > newsBuild ? 0 : stage;
    }

    private void raiseThreshold() {
        if (trial < 0) {
            return;
        }
        double on = warmSize(trial);
        double off = warmSize(base);
        double target = Math.min(TARGET * trialCap(), RAMP * on / Math.max(baseAtStart, 1e-9));
        if (off < (1 - TARGET * trialCap()) * baseAtStart) {
            target = Math.max(target, Math.min(trialCap(), on / (on + off)));
        }
        threshold = Math.max(threshold, target);
    }

    private int scope(int route) {
        return set.rollout().exposurePerRoute() ? route : 0;
    }

    /** A build that leaves the list ahead of its news, or is passed, and returns, has its tries still. */
    private SlidingWindow exposed(int build, int route) {
        return exposed.computeIfAbsent(
                        build,
                        k -> set.routes().stream().map(r -> new SlidingWindow()).toList())
                .get(scope(route));
    }

    private boolean trialOpen(Rq rq, boolean pinned) {
        Route route = set.routes().get(rq.is.route());
        boolean guarded = trialStage() < set.rollout().guardedStages();
        if (trialCap() <= 0 || (guarded && route.idempotency() != Idempotency.IDEMPOTENT)) {
            return false;
        }
        int s = scope(rq.is.route());
        long window = set.rollout().exposureWindowTicks();
        int tries = exposed(trial, rq.is.route()).countSince(now - window - WINDOW_EDGE);
        double share = trialCap() * taken.get(s).countSince(now - window + WINDOW_EDGE);
        double reserve = pinned ? 0 : RESERVE * share;
        return tries + 1 + reserve <= set.rollout().exposureAllowance() + share;
    }

    // ---- reqs

    private void alarm(Rq rq, long at) {
        alarms.add(rq, Math.max(at, now + 1));
    }

    private void take(RequestReceived r) {
        taken.get(scope(r.route())).record(now);
        retryBudget.requestReceived();
        Rq rq = new Rq(r, now, r.partitionKey() == null ? random.nextDouble() : -1);
        // clients ask again for what was shed: neither more load nor further evidence
        rq.repeat = clientRetries.isRetry(r);
        second(now).taken += rq.repeat ? 0 : 1;
        reqs.put(r.requestId(), rq);
        alarm(rq, rq.endBy);
        alarm(rq, now + set.routes().get(r.route()).latencyObjectiveTicks() - LAST_CALL);
        touched.add(rq);
    }

    private void tryEnded(AttemptEnded t) {
        Rq rq = reqs.get(t.requestId());
        if (rq == null || rq.out == null || rq.out.no != t.attempt()) {
            return;
        }
        Try was = rq.out;
        rq.out = null;
        opened(was.to, -1);
        Times usual = times.get(rq.is.route());
        usual.open--;
        // answers only: silence at some machines says nothing of the others
        usual.recent += t.outcome() == AttemptOutcome.COMPLETED ? (t.durationTicks() - usual.recent) * 0.1 : 0;
        rq.ended |= t.requestEnded();
        if (!t.outcome().provablyNeverRan() && rq.firstMayHaveRun == null) {
            rq.firstMayHaveRun = was;
        }
        Double inHand = t.loadReport().concurrentRequests();
        if (inHand != null) {
            was.to.others = Math.max(0, inHand - was.to.open - 1);
            opened(was.to, 0);
        }
        judgeMachine(was, t, rq);
        judgeBuild(was, t, rq);
        if (rq.is.partitionKey() != null) {
            pins.attemptEnded(rq.is.partitionKey(), was.to.build);
        }
        if (t.outcome().mayHaveServed() && binds(rq, was.to.build)) {
            // by the build that answered: one not announced yet can leave the list before its answer comes;
            // an answer that could not be read, or came as the front gave it up, was one all the same
            pins.served(rq.is.partitionKey(), was.to.build);
        }
        if (t.outcome() == AttemptOutcome.COMPLETED) {
            answeredNow++;
        } else {
            rq.keptOffTrial |= was.to.build == trial;
            rq.met = new HashSet<>(rq.met);
            rq.met.add(was.to);
        }
        touched.add(rq);
    }

    /** An answer of that build to this req keeps its key from earlier ones. */
    private boolean binds(Rq rq, int build) {
        return rq.is.partitionKey() != null && set.rollout().stickyKeys() && build > base && !takenOff.contains(build);
    }

    private void judgeMachine(Try was, AttemptEnded t, Rq rq) {
        Machine m = was.to;
        int r = rq.is.route();
        m.heard++;
        switch (t.outcome()) {
            case COMPLETED -> {
                m.errs -= m.errs * ERRS_RATE;
                m.strikes = 0;
                m.outUntil = 0;
                learnPace(m, was, t.durationTicks(), r);
                learnWait(m, was, t.durationTicks(), r);
            }
            case TIMED_OUT, CONNECTION_LOST, CONNECT_FAILED -> {
                if (t.outcome() != AttemptOutcome.TIMED_OUT || now < rq.endBy) {
                    m.strikes++;
                    m.outUntil =
                            m.strikes < 2 ? 0 : now + Math.min(4 * SECOND, (SECOND / 2) << Math.min(4, m.strikes - 2));
                    m.side.plain = false;
                }
            }
            case OVERLOADED -> {
                m.fullUntil = now + SECOND / 5;
                m.side.plain = false;
            }
            case FAILED -> {
                m.errs += (1 - m.errs) * ERRS_RATE;
                m.outUntil = m.errsAlone ? now + SECOND : m.outUntil;
            }
            default -> {}
        }
    }

    /**
     * Quick errors draw more reqs to a machine than its answers would. One that errs far more than most of
     * its build is sick by itself: it leaves the rotation, and speaks neither for nor against its build.
     */
    private void findErrsAlone() {
        for (Side side : sides.values()) {
            double[] errs = side.live.stream().mapToDouble(m -> m.errs).sorted().toArray();
            double most = errs[(errs.length - 1) / 2];
            for (Machine m : side.live) {
                m.errsAlone = errs.length > 1 && m.errs > ERRS_SICK && m.errs > ERRS_MORE * most;
                side.plain &= !m.errsAlone;
            }
        }
    }

    private static int level(double open) {
        return (int) Math.min(LEVELS - 1, Math.round(2 * Math.log(Math.max(1, open)) / Math.log(2)));
    }

    /** Like against like: an answer's time is held against those from machines as crowded as this one. */
    private void learnPace(Machine m, Try was, long took, int r) {
        Times t = times.get(r);
        int known = was.level;
        while (known > 0 && t.seen[known] < 8) {
            known--;
        }
        if (t.seen[known] >= 8) {
            // a crowd never met is taken to wait nearly in turn, or overload would pass for a slow build
            double usual = Math.max(1, t.usual[known]) * Math.pow(2, (was.level - known) / 3.0);
            double ratio = Math.min(4, took / usual);
            m.pace += (ratio - m.pace) * 0.06;
            weigh(m);
            // warm by the settings' own word: a machine still warming up is slow for no fault of its build
            if (m.started == 0 || was.sentAt >= m.started + set.limits().warmUpTicks()) {
                m.paced++;
                cell(seconds, now, was.to.build, r).rate(ratio);
            }
            if (was.settled) {
                double[] sum = second(now).paces.computeIfAbsent(m.id, k -> new double[2]);
                sum[0] += ratio;
                sum[1]++;
            }
            t.spread += (Math.abs(ratio - 1) - t.spread) * 0.02;
        }
        // while a build is on trial the usual stands still, or harm that both builds share would become usual
        if (judged() < 0 || (was.to.build != judged() && t.seen[was.level] < 8)) {
            t.seen[was.level]++;
            t.usual[was.level] += (took - t.usual[was.level]) * Math.max(0.05, 1.0 / t.seen[was.level]);
        }
    }

    /** A route's calm time: the least mean of a run of its answers. What one took beyond it was waiting. */
    private void learnWait(Machine m, Try was, long took, int r) {
        Times t = times.get(r);
        t.runSum += took;
        if (++t.runCount == CALM_RUN) {
            t.calm = t.ran ? Math.min(t.calm * CALM_DRIFT, t.runSum / CALM_RUN) : t.runSum / CALM_RUN;
            t.ran = true;
            t.runSum = 0;
            t.runCount = 0;
        }
        m.wait += (took - t.calm - m.wait) * 0.15;
        m.answeredAt = now;
        m.usualOpen += (was.openThen - m.usualOpen) * 0.15;
        wait += (took - t.calm - wait) * Math.max(0.02, Math.min(0.2, 1 / (2 * answered + 1)));
    }

    /** What a machine showed a while ago says little: then the wait at all machines stands for it. */
    private double expectedWait(Machine m) {
        double fresh = Math.max(0, 1 - (now - m.answeredAt) / (double) FRESH);
        double own = Math.max(0, m.wait) * (m.open + 1) / Math.max(1, m.usualOpen);
        return fresh * own + (1 - fresh) * Math.max(0, wait);
    }

    private double slack(int r) {
        return set.routes().get(r).latencyObjectiveTicks() - 1.5 * times.get(r).calm;
    }

    private double density(int r) {
        return set.routes().get(r).priorityWeight() / (set.valueByWork() ? 1 : times.get(r).calm);
    }

    /** The wait at which a route gives way: its own slack, or less for the sake of routes that earn more. */
    private double yieldAt(int r) {
        double least = slack(r);
        for (int q = 0; q < set.routes().size(); q++) {
            double more = density(q) / density(r);
            if (more >= 0.8) {
                least = Math.min(least, slack(q) * (more > 1.25 ? YIELD : 1));
            }
        }
        return least;
    }

    private boolean mayResend(Rq rq) {
        Route route = set.routes().get(rq.is.route());
        return rq.tries < set.capabilities().maxAttempts()
                && (rq.firstMayHaveRun == null
                        || route.idempotency() == Idempotency.IDEMPOTENT
                        || (route.idempotency() == Idempotency.DEDUPLICATED && inWindow(rq.firstMayHaveRun, route)));
    }

    private boolean inWindow(Try first, Route route) {
        return now + TICK < first.sentAt + route.deduplicationWindowTicks();
    }

    private boolean sameGroup(Rq rq, Machine m) {
        Route route = set.routes().get(rq.is.route());
        if (rq.firstMayHaveRun == null
                || route.idempotency() != Idempotency.DEDUPLICATED
                || route.deduplicationScope() == DeduplicationScope.ALL) {
            return true;
        }
        Try first = rq.firstMayHaveRun;
        return route.deduplicationScope() == DeduplicationScope.ZONE
                ? first.to.zone == m.zone
                : first.to.cell == m.cell;
    }

    private boolean shedAllowed(Rq rq) {
        Route route = set.routes().get(rq.is.route());
        Try first = rq.firstMayHaveRun == null ? rq.out : rq.firstMayHaveRun;
        return first == null
                || route.idempotency() == Idempotency.IDEMPOTENT
                || (route.idempotency() == Idempotency.DEDUPLICATED
                        && route.deduplicationScope() == DeduplicationScope.ALL
                        && inWindow(first, route));
    }

    /** Sets what is wanted for one req: a send, an end, or to go on waiting. */
    private void place(Rq rq) {
        if (rq.ended || rq.wantEnd) {
            return;
        }
        Route route = set.routes().get(rq.is.route());
        if (now >= rq.endBy) {
            rq.wantEnd = true;
        } else if (rq.out != null && now >= rq.takenAt + route.latencyObjectiveTicks() - LAST_CALL) {
            // queues that only hold late answers never empty; against every cause of a standing queue
            rq.wantEnd = expectedWait(rq.out.to) > slack(rq.is.route()) / 2;
        } else if (rq.out == null) {
            // turned-away tries count too: a full fleet must not be asked by every req at every machine
            boolean again = rq.tries > 0;
            boolean may = mayResend(rq) && (!again || retryBudget.allows(1));
            rq.want = may ? choose(rq) : null;
            // a route whose answers all come late only holds places, whatever keeps them; but two tries
            // go out at any wait: a front that only sheds would never learn of its end
            Times t = times.get(rq.is.route());
            if (rq.want != null
                    && t.open >= 2
                    && (t.recent > route.latencyObjectiveTicks() || expectedWait(rq.want) > yieldAt(rq.is.route()))) {
                rq.want = null;
            }
            rq.wantEnd = rq.want == null;
            if (rq.want != null) {
                if (again) {
                    retryBudget.spend();
                }
                rq.within = limit(rq);
                send(rq);
            }
        }
    }

    private Machine choose(Rq rq) {
        int pin = rq.is.partitionKey() == null ? StickyKeys.NO_BUILD : pins.oldestAllowedBuild(rq.is.partitionKey());
        if (pin > base) {
            return pin == trial && trialOpen(rq, true) ? pick(trial, rq) : null;
        }
        double at = rq.fraction >= 0 ? rq.fraction : StickyKeySlice.fractionOf(rq.is.partitionKey(), trial);
        boolean room = trial >= 0 && !pins.isFull() && trialOpen(rq, false);
        Machine m = null;
        if (room && at < threshold && !rq.keptOffTrial) {
            m = pick(trial, rq);
        }
        m = m == null ? pick(base, rq) : m;
        // with no machine of the earlier build left, what the cap allows goes to the trial build
        return m == null && room ? pick(trial, rq) : m;
    }

    /** Where answers wait, more machines are asked in turn; where none do, those that this front's traffic needs. */
    private void adaptRotation() {
        if (now < nextRotation) {
            return;
        }
        nextRotation = now + SECOND;
        int open = times.stream().mapToInt(t -> t.open).sum();
        double slack = Double.MAX_VALUE;
        for (int r = 0; r < set.routes().size(); r++) {
            slack = Math.min(slack, slack(r));
        }
        int most =
                sides.values().stream().mapToInt(side -> side.all.length).max().orElse(0);
        boolean notable = rotation.adapt(open, wait > WAITING * slack, most);
        for (Side side : sides.values()) {
            if (notable || side.needsOthers()) {
                side.rotate(rotation);
            }
        }
    }

    private Machine pick(int build, Rq rq) {
        Side side = sides.get(build);
        if (side == null) {
            return null;
        }
        if (rq.firstMayHaveRun == null && rq.met.isEmpty() && side.plain) {
            return next(side, side.rotation, side.rotation.length);
        }
        int fits = sort(side, side.rotation, rq);
        if (2 * fits < side.rotation.length && side.rotation.length < side.all.length) {
            // what befell its machines would pile their requests up at the few that are left
            fits = sort(side, side.all, rq);
        }
        // suspicion alone never empties the rotation
        return fits == 0 ? next(side, side.struck, side.strucks) : next(side, side.fit, fits);
    }

    /** Sorts machines into those that fit the request and those that are under suspicion; returns how many fit. */
    private int sort(Side side, int[] from, Rq rq) {
        boolean bound = rq.firstMayHaveRun != null;
        int fits = 0;
        side.strucks = 0;
        // until something befalls one of them, none is cold, sick or full
        side.plain = true;
        for (int i : from) {
            Machine m = side.live.get(i);
            if (!m.weighed) {
                weigh(m);
            }
            side.plain &= m.weighed
                    && !m.ill()
                    && now >= m.fullUntil
                    && (m.started == 0 || now - m.started >= set.limits().warmUpTicks() + SECOND);
            if ((m.started != 0 && coldFull(m)) || (bound && !sameGroup(rq, m))) {
                continue;
            }
            boolean sick = (m.ill() && (now < m.outUntil || m.open > 0)) || now < m.fullUntil;
            if (sick || rq.met.contains(m)) {
                side.struck[side.strucks++] = i;
            } else {
                side.fit[fits++] = i;
            }
        }
        return fits;
    }

    /** The next in turn of those that hold no more than others. */
    private static Machine next(Side side, int[] from, int n) {
        double least = Double.MAX_VALUE;
        double sum = 0;
        for (int k = 0; k < n; k++) {
            least = Math.min(least, side.strain[from[k]]);
            sum += side.weight[from[k]];
        }
        int best = -1;
        for (int k = 0; k < n; k++) {
            int i = from[k];
            side.credit[i] += side.weight[i];
            if (side.strain[i] <= least * PILE && (best < 0 || side.credit[i] > side.credit[best])) {
                best = i;
            }
        }
        if (best < 0) {
            return null;
        }
        side.credit[best] -= sum;
        return side.live.get(best);
    }

    /** A warm machine's weight changes with its pace only; that of a cold one with every moment. */
    private void weigh(Machine m) {
        m.weighed = warm(m);
        if (m.at < m.side.weight.length) {
            m.side.weight[m.at] = m.size * warmth(m) / Math.max(0.4, Math.min(3, m.pace));
        }
        opened(m, 0);
    }

    private void opened(Machine m, int more) {
        m.open += more;
        if (m.at < m.side.strain.length) {
            m.side.strain[m.at] = (m.open + m.others + m.far) / m.side.weight[m.at];
        }
    }

    private boolean coldFull(Machine m) {
        if (now - m.started >= set.limits().warmUpTicks() + SECOND) {
            return false;
        }
        // answers, not reqs taken: in overload the reqs say nothing of what a machine can do
        long window = set.limits().overloadWindowTicks();
        double usual = answered * window / SECOND * m.size / Math.max(places, 1e-9);
        // under one a window, chance rounds: one from each of many fronts would topple it
        double most = Math.floor(COLD_USE * set.limits().overloadMultiple() * warmth(m) * usual + m.luck);
        return m.sends.countSince(now - window) + 1 > most;
    }

    private long limit(Rq rq) {
        Route route = set.routes().get(rq.is.route());
        long left = rq.endBy - now;
        boolean again = route.idempotency() != Idempotency.NOT_IDEMPOTENT
                && rq.tries + 1 < set.capabilities().maxAttempts();
        Times t = times.get(rq.is.route());
        int level = level(rq.want.open);
        double typical = t.seen[level] < 8 ? t.calm : t.usual[level];
        double patient = Math.max(typical * (1 + 6 * t.spread), 0.35 * route.latencyObjectiveTicks());
        boolean waits = !again || patient + typical > route.latencyObjectiveTicks() || !retryBudget.allows(2);
        return waits ? left : Math.min(left, (long) patient);
    }

    private void send(Rq rq) {
        Machine m = rq.want;
        opened(m, 1);
        times.get(rq.is.route()).open++;
        m.sends.record(now);
        second(now).sends++;
        second(now).trialSends += m.build == judged() ? 1 : 0;
        if (m.build == trial) {
            exposed(trial, rq.is.route()).record(now);
        }
    }

    // ---- judging builds

    private Second second(long at) {
        return seconds.computeIfAbsent(at / SECOND, k -> new Second());
    }

    private Cell cell(TreeMap<Long, Second> of, long at, int build, int route) {
        Second second = of.computeIfAbsent(at / SECOND, k -> new Second());
        Cell[] cells =
                second.builds.computeIfAbsent(build, k -> new Cell[set.routes().size()]);
        cells[route] = cells[route] == null ? new Cell() : cells[route];
        return cells[route];
    }

    private void judgeBuild(Try was, AttemptEnded t, Rq rq) {
        boolean error = t.outcome() == AttemptOutcome.FAILED;
        if (t.outcome() == AttemptOutcome.COMPLETED && rq.failedIn != null) {
            rq.failedIn.cured++;
        }
        boolean counts = error || t.outcome() == AttemptOutcome.COMPLETED || t.outcome() == AttemptOutcome.TIMED_OUT;
        if (was.settled && counts && was.to.strikes < 2 && !was.to.errsAlone && !rq.repeat) {
            // by when it was sent: errors come quickly, so a build whose share just rose has them first
            Cell c = cell(seconds, was.sentAt, was.to.build, rq.is.route());
            c.tries++;
            c.fails += error ? 1 : 0;
            rq.failedIn = error ? c : null;
        }
    }

    /** What speaks against cand beside the earlier build, over the seconds both were seen; or null. */
    private String against(int cand, int rev) {
        // after the release nothing serves beside it: then the earlier build's last seconds stand
        boolean beside = phase == RolloutPhase.CANARY;
        int routes = set.routes().size();
        Cell[] earlier = total(seconds.values(), rev, -1);
        List<Map<Integer, Cell[]>> over = spans(seconds, cand, rev, beside ? SPAN : MEMORY);
        // of many fronts each sees few tries: the platform's counts say how often, an error of its own of
        // what kind, for they take time-outs of cold machines for failures
        Cell[] own = total(seconds.values(), cand, -1);
        var all = own[routes].tries < LEAST ? spans(counted, cand, rev, beside ? SPAN : MEMORY) : null;
        // one front's finding alone must be surer than one that others must share
        int fails = set.rollout().rollBackVotes() > 1 ? LEAST_FAILS - 1 : LEAST_FAILS;
        // where reqs fail on the earlier build too, only one that another try cured speaks of its build
        boolean cured = !beside || earlier[routes].fails > OWN_FAULT * earlier[routes].tries;
        // one machine is no build: where several of it are seen, at least two must have erred of late
        List<Machine> of = machines.values().stream()
                .filter(m -> m.live && m.build == cand)
                .toList();
        boolean one = of.stream().filter(m -> m.heard >= ERRS_HEARD).count() > 1
                && of.stream().filter(m -> m.errs > ERRS_RATE / 10).count() < 2;
        for (int r = 0; r <= routes; r++) {
            int least = r < routes ? LEAST / 2 : LEAST;
            boolean errs = leads(over, cand, rev, r, c -> cured ? c.cured : c.fails, least, fails, 1e9);
            errs |= all != null
                    && own[r].fails > 0
                    && leads(all, cand, rev, r, c -> c.fails, least, LEAST_FAILS, of.size());
            errs &= !one;
            if (errs || leads(over, cand, rev, r, c -> c.complaints, LEAST, LEAST_COMPLAINTS, 1e9)) {
                return (errs ? "errors" : "complaints") + " on route " + r;
            }
        }
        // after the release no seconds are shared, and other loads than then pass for a slow build
        String slow = beside
                ? slower(cand, total(seconds.values(), cand, rev)[routes], total(seconds.values(), rev, cand)[routes])
                : null;
        return slow == null ? slowsAll() : slow;
    }

    /** Both builds' outcomes by route, span by span. */
    private List<Map<Integer, Cell[]>> spans(TreeMap<Long, Second> of, int cand, int rev, long back) {
        List<Map<Integer, Cell[]>> over = new ArrayList<>();
        for (long at = now / SECOND; at > (now - MEMORY) / SECOND; at -= back) {
            var span = of.subMap(at - back, false, at, true).values();
            over.add(Map.of(cand, total(span, cand, -1), rev, total(span, rev, -1)));
        }
        return over;
    }

    /** A build's outcomes by route, last all routes', over the seconds beside was seen in; below 0 all. */
    private Cell[] total(Collection<Second> span, int build, int beside) {
        Cell[] total = new Cell[set.routes().size() + 1];
        Arrays.setAll(total, r -> new Cell());
        for (Second second : span) {
            Cell[] cells = beside < 0 || second.builds.containsKey(beside) ? second.builds.get(build) : null;
            for (int r = 0; cells != null && r < cells.length; r++) {
                Cell cell = cells[r] == null ? new Cell() : cells[r];
                total[r].add(cell);
                total[cells.length].add(cell);
            }
        }
        return total;
    }

    /**
     * Harm that all machines share: most have been slow for longer than most outside spells, ever since the
     * trial had traffic, and were not before it.
     */
    private String slowsAll() {
        double before = paceBefore();
        double usual = seconds.values().stream()
                .filter(s -> s.trialSends == 0)
                .mapToInt(s -> s.taken)
                .average()
                .orElse(0);
        int load = 0, seen = 0, slow = 0;
        for (Second s : seconds.tailMap(now / SECOND - LASTING).values()) {
            double pace = s.pace();
            seen += pace > 0 ? 1 : 0;
            slow += pace > SHARED * before && s.trialSends > 0.05 * s.sends ? 1 : 0;
            load += s.taken;
        }
        // under more reqs than before the trial slowness proves nothing; sends would hide them by sheds
        boolean usualLoad = before > 0 && load < MORE * usual * LASTING;
        // of many fronts the quietest see a few seconds only, and the vote of one may decide
        boolean lasts = usualLoad && seen >= LASTING * 2 / 3 * sure / SURE && slow >= 0.85 * seen;
        return lasts ? "slows all in " + slow + " of " + seen + " seconds, before " + before : null;
    }

    private double paceBefore() {
        return seconds.values().stream()
                .filter(s -> s.trialSends == 0)
                .mapToDouble(Second::pace)
                .filter(p -> p > 0)
                .map(p -> Math.max(0.8, p))
                .average()
                .orElse(0);
    }

    /** Slow is a build surely slower by its answers and on most of its machines: one machine is no build. */
    private String slower(int cand, Cell a, Cell b) {
        List<Machine> seen = machines.values().stream()
                .filter(m -> m.live && m.build == cand && m.paced >= LEAST / 4)
                .toList();
        long most = seen.stream().filter(m -> m.pace > (1 + SLOWER) / 2).count();
        if (a.rated < 2 * LEAST || b.rated < 2 * LEAST || most < 2 || most * 6 < seen.size() * 5) {
            return null;
        }
        double x = a.ratio / a.rated;
        double y = Math.max(1, b.ratio / b.rated);
        double doubt = Math.sqrt((a.square / a.rated - x * x) / a.rated + (b.square / b.rated - y * y) / b.rated);
        boolean slow = x > SLOWER * y && x - (1 + SLOWER) / 2 * y > sure * doubt;
        return slow ? "slow " + x + " of " + a.rated + ", earlier " + y + " of " + b.rated : null;
    }

    /**
     * A lead in failures or complaints, each span and route by itself: summed, a share that changes with
     * time or route passes for a lead of the build that has its traffic then.
     *
     * @param machines of cand, where they cannot be told apart: a few that always fail are no build, so no
     *     more outcomes than that count as independent
     */
    private boolean leads(
            Collection<Map<Integer, Cell[]>> over,
            int cand,
            int rev,
            int route,
            ToIntFunction<Cell> what,
            int least,
            int leastHits,
            double machines) {
        double lead = 0, weight = 0, tries = 0, hits = 0, all = 0, allHits = 0;
        for (Map<Integer, Cell[]> second : over) {
            Cell[] x = second.get(cand), y = second.get(rev);
            for (int r = 0; r < x.length - 1; r++) {
                double n = x[r].tries, m = y[r].tries;
                if ((route == x.length - 1 || r == route) && n > 0 && m > 0) {
                    double f = what.applyAsInt(x[r]);
                    double g = what.applyAsInt(y[r]);
                    double even = n * m / (n + m);
                    lead += even * (f / n - g / m);
                    weight += even;
                    all += n + m;
                    allHits += f + g;
                    tries += n;
                    hits += f;
                }
            }
        }
        // the doubt by the share over all: a second of few tries shows too little of its own
        double doubt = Math.sqrt(weight * allHits / all * Math.max(0, 1 - allHits / all))
                * Math.sqrt(Math.max(1, weight / machines));
        return tries >= least && hits >= leastHits && lead > MARGIN * weight && lead > sure * doubt;
    }

    /** The build under judgement: on trial, or released a short while ago, when it can still be sent back. */
    private int judged() {
        boolean late = phase == RolloutPhase.RELEASED && rival >= 0 && now < stageSince + AFTER_RELEASE;
        return trial >= 0 ? trial : late ? newsBuild : -1;
    }

    private long newest(int build) {
        return machines.values().stream()
                .filter(m -> m.live && m.build == build)
                .mapToLong(m -> m.started)
                .max()
                .orElse(0);
    }

    private Verdict verdict() {
        if (judged() != newsBuild) {
            return Verdict.NONE;
        }
        reason = rival == newsBuild ? null : against(newsBuild, rival);
        if (reason != null) {
            return Verdict.ROLL_BACK;
        }
        boolean waited = now >= Math.max(stageSince, newest(newsBuild)) + READY;
        boolean on =
                phase == RolloutPhase.CANARY && waited && set.rollout().promotionPolicy() != PromotionPolicy.AUTOMATIC;
        return on ? Verdict.PROMOTE : Verdict.NONE;
    }

    private Action.CastVote wantedVote() {
        boolean waits = asked != null && now < askedAt + set.rollout().voteTimeoutTicks() + SECOND / 2;
        if (newsBuild < 0 || now < nextVerdict || waits) {
            return null;
        }
        nextVerdict = now + SECOND / 4;
        Verdict v = verdict();
        boolean same = stands != null
                && stands.build() == newsBuild
                && stands.verdict() == v
                && (v != Verdict.PROMOTE || stands.stage() == stage);
        if (v == Verdict.NONE || (same && now < stoodAt + set.rollout().voteLifetimeTicks() * 6 / 10)) {
            return null;
        }
        return new Action.CastVote(newsBuild, stage, v);
    }

    // ---- wanted against present

    private void emit(Action.CastVote vote) {
        for (Rq rq : touched) {
            settle(rq);
        }
        touched.clear();
        if (vote != null) {
            asked = vote;
            askedAt = now;
            nextVerdict = now + SECOND / 2;
            out.add(vote);
            if (vote.verdict() == Verdict.ROLL_BACK) {
                out.add(new Action.WriteLog("votes back on build " + vote.build() + ": " + reason));
            }
        }
        if (poller.startPoll(now)) {
            out.add(new Action.WatchEndpoints(true));
        }
        long wake = Math.min(nextTick, alarms.nextAtTicks());
        if (wake < armedFor) {
            armedFor = wake;
            out.add(new Action.StartTimer(wake, 0));
        }
    }

    private void settle(Rq rq) {
        boolean answer = rq.wantEnd && !rq.ended;
        if (answer) {
            out.add(
                    shedAllowed(rq)
                            ? new Action.RejectRequest(
                                    rq.is.requestId(), set.capabilities().maxRetryAfterTicks())
                            : new Action.FailRequest(rq.is.requestId()));
            rq.ended = true;
            if (rq.is.partitionKey() != null) {
                clientRetries.requestUnserved(rq.is.partitionKey(), now);
            }
        }
        if (rq.ended && rq.out != null && !rq.stopped && set.capabilities().cancellation()) {
            rq.stopped = true;
            out.add(new Action.CancelAttempt(rq.is.requestId(), rq.out.no));
        }
        if (rq.want != null && !rq.ended) {
            boolean settled = rq.want.started == 0 || now >= rq.want.started + READY;
            int open = rq.want.open;
            rq.out = new Try(rq.tries++, rq.want, now, settled, open, level(open + rq.want.others));
            if (binds(rq, rq.want.build)) {
                pins.attemptSent(rq.is.partitionKey(), rq.want.build);
            }
            out.add(new Action.SendAttempt(rq.is.requestId(), rq.want.id, rq.within));
        }
        rq.want = null;
        if (rq.ended && rq.out == null) {
            reqs.remove(rq.is.requestId());
        }
    }

    private void tidy() {
        // over 10 s, not over a cold machine's window: a quiet front has too few answers in that
        double past = tickedAt == 0 ? 0 : (now - tickedAt) / (double) SECOND;
        span = Math.min(10, span + past);
        answered += (answeredNow - answered * past) / Math.max(past, span);
        answeredNow = 0;
        tickedAt = now;
        long keep = Math.max(set.rollout().exposureWindowTicks(), set.limits().overloadWindowTicks()) + SECOND;
        taken.forEach(times -> times.forgetBefore(now - keep));
        exposed.values().forEach(routes -> routes.forEach(times -> times.forgetBefore(now - keep)));
        exposed.values().removeIf(routes -> routes.stream().allMatch(SlidingWindow::isEmpty));
        for (Machine m : machines.values()) {
            if (now >= m.luckUntil) {
                m.luck = random.nextDouble();
                m.luckUntil = now + set.limits().overloadWindowTicks();
            }
            m.sends.forgetBefore(now - keep);
        }
        seconds.headMap((now - MEMORY) / SECOND).clear();
        counted.headMap((now - MEMORY) / SECOND).clear();
        clientRetries.forgetOld(now);
    }
}
