package laurelkeel.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import laurelkeel.admin.Admin;
import laurelkeel.admin.Jvm;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings;
import laurelkeel.config.Section;
import laurelkeel.front.ingress.Asked;
import laurelkeel.front.ingress.CloseReason;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.front.news.ListSource;
import laurelkeel.front.news.Notes;
import laurelkeel.front.news.ReleaseLine;
import laurelkeel.front.news.ReleaseSource;
import laurelkeel.front.upstream.Place;
import laurelkeel.lanes.Lanes;
import laurelkeel.logs.Sparing;
import laurelkeel.loop.Loop;
import laurelkeel.loop.Threads;
import laurelkeel.wire.HttpAnswer;
import laurelkeel.wire.HttpReq;
import laurelkeel.wire.Names;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a front set by an INI file is handed: our own words, sources, lanes, reports, records, metrics and admin port. */
final class Own implements Outfit {
    private static final Logger LOG = LoggerFactory.getLogger(Own.class);
    private static final int REFS = 1 << 16;
    /** Names of machines that were resolved: more than any list has, and no list of ever new names fills the heap. */
    private static final int MOST_PLACES = 20_000;

    private final FrontSettings set;
    private final Base base;
    private final Loop loop;
    private final Lanes lanes;
    private final Decider decider;
    private final OwnDialect dialect;
    private final Reports reports;
    private final Told told;
    private final Counts counts;
    private final ExecutorService httpThreads;
    private final ListSource list;
    private final ReleaseSource release;
    private final String life;
    private final Refs refs = new Refs(REFS);
    private final Map<Integer, Lanes.Blame> blames = new HashMap<>();
    private final Map<String, Place> places = new HashMap<>();
    private final Inbox inbox;
    private final Notes notes;
    private Admin admin;

    Own(FrontSettings set, Decider.Factory maker, Base base, boolean guarded) throws IOException {
        this.set = set;
        this.base = base;
        life = base.life();
        loop = base.loop();
        inbox = base.inbox();
        counts = new Counts(
                set.routes().entries().stream().map(RouteTable.Entry::name).toList());
        lanes = new Lanes(set.decisions(), set.seed(), maker);
        decider = guarded ? lanes : maker.create(set.decisions(), set.seed());
        List<Settings.Route> routes = set.decisions().routes();
        int self = set.decisions().nodeIndex();
        dialect = new OwnDialect(
                set.routes(),
                r -> routes.get(r).timeoutTicks(),
                self + "/" + life,
                set.upstream().probePath());
        httpThreads = Threads.some(loop, "front-news", 2);
        HttpClient http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .executor(httpThreads)
                .connectTimeout(Duration.ofSeconds(2))
                .build();
        told = new Told(set, life, loop, new LastList(set.state(), base.timer()));
        // by number too: fronts set to one seed would still come back in step
        long pauses = 2 * (set.seed() * 100_003 + self);
        list = set.list() == null
                ? null
                : new ListSource(
                        http,
                        base(set.list()),
                        base.timer(),
                        loop,
                        !set.decisions().capabilities().endpointPolling(),
                        pauses,
                        new ListSource.Sink() {
                            @Override
                            public void list(laurelkeel.front.news.ListLine line, long arrived) {
                                Event.EndpointListUpdate l = told.list(line, arrived);
                                reports.list(l);
                                inbox.learn(l);
                            }

                            @Override
                            public void failed() {
                                inbox.learn(new Event.EndpointListUpdate(Event.EndpointListKind.FAILED, List.of()));
                            }
                        });
        release = set.release() == null
                ? null
                : new ReleaseSource(
                        http, base(set.release()), self, base.timer(), loop, pauses + 1, new ReleaseSource.Sink() {
                            @Override
                            public void news(ReleaseLine line, long arrived) {
                                told.news(line, arrived).forEach(inbox::learn);
                                blamed(line);
                            }

                            @Override
                            public void voted(String answer, int build, ReleaseLine line, long arrived) {
                                inbox.learn(told.voted(answer, build, line, arrived));
                            }
                        });
        reports = new Reports(set.decisions(), life, r -> {
            if (release != null) {
                release.report(r);
            }
        });
        notes = set.notes() == null
                ? null
                : new Notes(
                        set.decisions().nodeIndex(),
                        set.notes(),
                        set.peers(),
                        loop,
                        base.socketThreads(),
                        (from, bytes) -> inbox.learn(new Event.GossipReceived(from, bytes)));
        // the list kept from the life before is known from the first turn on
        Event.EndpointListUpdate kept = told.remembered();
        reports.list(kept);
        inbox.learn(kept);
    }

    private static String base(InetSocketAddress a) {
        return "http://" + a.getHostString() + ":" + a.getPort();
    }

    @Override
    public Decider decider() {
        return decider;
    }

    @Override
    public Dialect dialect() {
        return dialect;
    }

    private void measure(FrontStatus front) {
        counts.gauge("laurelkeel_lanes", lanes::open);
        counts.gauge("laurelkeel_reqs_held", front::held);
        counts.gauge("laurelkeel_client_connections", front::clientConnections);
        counts.gauge("laurelkeel_machine_connections", front::machineConnections);
        counts.gauge("laurelkeel_loop_backlog", loop::backlog);
        counts.gauge("laurelkeel_loop_failures", loop::failures);
        counts.gauge("laurelkeel_turned_away", front::turnedAway);
        for (CloseReason why : CloseReason.values()) {
            counts.gauge(
                    "laurelkeel_client_connections_closed",
                    "reason",
                    why.name().toLowerCase(Locale.ROOT),
                    () -> front.closedConnections().getOrDefault(why, 0L));
        }
        counts.gauge("laurelkeel_body_bytes_held", front::bodies);
        counts.gauge("laurelkeel_records_lost", told::lost);
        counts.gauge("laurelkeel_report_cells_left_out", () -> reports.leftOut);
        counts.gauge("laurelkeel_log_lines_left_out", Sparing::leftOut);
        counts.gauge("laurelkeel_process_cpu_seconds", Jvm::cpuSeconds);
        counts.gauge("laurelkeel_allocated_bytes", Jvm::allocatedBytes);
        counts.gauge("laurelkeel_heap_bytes", Jvm::heapBytes);
    }

    @Override
    public void start(FrontStatus front) throws IOException {
        measure(front);
        loop.post(this::report);
        if (notes != null) {
            notes.open();
        }
        if (set.admin() != null) {
            admin = new Admin(base.socketThreads(), set.admin(), front::health, counts::text);
            admin.start();
        }
        if (list != null) {
            list.start();
        }
        if (release != null) {
            release.start();
        }
    }

    @Override
    public List<Runnable> ends() {
        List<Runnable> ends = new ArrayList<>();
        if (list != null) {
            ends.add(list::close);
        }
        if (release != null) {
            ends.add(release::close);
        }
        if (notes != null) {
            ends.add(notes::close);
        }
        if (admin != null) {
            ends.add(admin::close);
        }
        ends.add(httpThreads::shutdown);
        ends.add(told::close);
        return ends;
    }

    private void report() {
        loop.at(loop.now() + 5_000, this::report);
        reports.tell(loop.now());
    }

    /** What the release line says of a build beside its news. */
    private void blamed(ReleaseLine line) {
        Lanes.Blame word;
        try {
            word = line.blame() == null
                    ? Lanes.Blame.NONE
                    : Lanes.Blame.valueOf(line.blame().toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            LOG.warn("the release line's blame '{}' is unknown and counts for none", line.blame());
            word = Lanes.Blame.NONE;
        }
        if (word != blames.getOrDefault(line.build(), Lanes.Blame.NONE)) {
            blames.put(line.build(), word);
            LOG.info("blame on build {}: {}", line.build(), word);
            counts.add("laurelkeel_blame_total", "word", word.name().toLowerCase(Locale.ROOT));
        }
        lanes.blame(line.build(), word);
    }

    @Override
    public Place place(String machine) {
        // the list's names are addresses; they are resolved once while a machine's connections are in use
        return places.computeIfAbsent(machine, m -> {
            if (places.size() > MOST_PLACES) {
                places.clear();
            }
            return new Place(m, resolved(m));
        });
    }

    private static InetSocketAddress resolved(String machine) {
        try {
            InetSocketAddress a = Section.address(machine);
            return a == null || a.isUnresolved() ? null : a;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    @Override
    public HttpAnswer own(HttpReq http, String health) {
        String ref = new String(http.body(), StandardCharsets.UTF_8).strip();
        Refs.Answer c = refs.take(numberOf(ref));
        if (c == null) {
            return OwnDialect.plain(
                    404, "no answer of this front has that " + Names.REF + ", or it was too long ago or told before");
        }
        inbox.learn(new Event.ComplaintReceived(c.machine(), loop.now() - c.sentAt(), c.route()));
        reports.wrong(c.sentAt(), c.machine(), c.route(), c.customer());
        counts.add("laurelkeel_complaints_total", "known", "yes");
        return OwnDialect.plain(202, "noted");
    }

    /** The number in a req's id of this life; -1 for any other. */
    private long numberOf(String ref) {
        try {
            return ref.startsWith(life + "-") ? Long.parseLong(ref.substring(life.length() + 1), 36) : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    @Override
    public void vote(Action.CastVote v) {
        String verdict = WireTerms.verdict(v.verdict());
        counts.add("laurelkeel_votes_total", "verdict", verdict);
        if (release == null) {
            inbox.learn(
                    new Event.RolloutUpdate(Event.ControlStatus.FAILED, 0, 0, 0, Event.RolloutPhase.CANARY, 0, true));
            return;
        }
        release.vote(
                new ReleaseLine.Ballot(set.decisions().nodeIndex(), v.build(), v.stage(), verdict),
                Math.max(1, set.decisions().rollout().voteTimeoutTicks() / 10));
    }

    @Override
    public void watchList(boolean on) {
        if (list != null) {
            list.watch(on);
        }
    }

    @Override
    public void fetchList() {
        if (list != null) {
            list.fetch();
        }
    }

    @Override
    public void tell(int to, byte[] bytes) {
        if (notes != null && set.decisions().capabilities().gossip()) {
            notes.tell(to, bytes);
            counts.add("laurelkeel_notes_total", "way", "out");
        }
    }

    @Override
    public void turn(int events) {
        counts.turn(events);
    }

    @Override
    public void tried(int route) {
        counts.tried(route);
    }

    @Override
    public void tryEnded(String machine, long begunAt, Asked asked, AttemptOutcome outcome) {
        counts.ended(outcome);
        reports.ended(begunAt, loop.now(), machine, asked.route(), asked.customer(), outcome);
    }

    @Override
    public void completed(long number, String machine, long begunAt, Asked asked) {
        refs.put(number, machine, begunAt, asked.route(), asked.customer());
    }

    @Override
    public void answered(End how, long tenths) {
        counts.answered(how, tenths);
    }

    @Override
    public void overdue(int route) {
        counts.overdue(route);
    }
}
