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
import laurelkeel.admin.AdminServer;
import laurelkeel.admin.ProcessMetrics;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings;
import laurelkeel.config.IniSection;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.eventloop.LoopThreads;
import laurelkeel.front.controlplane.EndpointListSource;
import laurelkeel.front.controlplane.GossipChannel;
import laurelkeel.front.controlplane.RolloutMessage;
import laurelkeel.front.controlplane.RolloutSource;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.ingress.CloseReason;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.front.upstream.EndpointAddress;
import laurelkeel.logging.RateLimitedAsyncAppender;
import laurelkeel.partition.PartitionedDecider;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a front set by an INI file is handed: our own words, sources, lanes, reports, records, metrics and admin port. */
final class StandaloneServices implements NodeServices {
    private static final Logger LOG = LoggerFactory.getLogger(StandaloneServices.class);
    private static final int REFS = 1 << 16;
    /** Names of machines that were resolved: more than any list has, and no list of ever new names fills the heap. */
    private static final int MOST_PLACES = 20_000;

    private final FrontSettings set;
    private final NodeRuntime base;
    private final EventLoop loop;
    private final PartitionedDecider lanes;
    private final Decider decider;
    private final StandaloneProtocol dialect;
    private final AttributionReporter reports;
    private final ControlPlaneEvents told;
    private final FrontMetrics counts;
    private final ExecutorService httpThreads;
    private final EndpointListSource list;
    private final RolloutSource release;
    private final String life;
    private final ResponseReferences refs = new ResponseReferences(REFS);
    private final Map<Integer, PartitionedDecider.Attribution> blames = new HashMap<>();
    private final Map<String, EndpointAddress> places = new HashMap<>();
    private final EventInbox inbox;
    private final GossipChannel notes;
    private AdminServer admin;

    StandaloneServices(FrontSettings set, Decider.Factory maker, NodeRuntime base, boolean guarded) throws IOException {
        this.set = set;
        this.base = base;
        life = base.incarnation();
        loop = base.loop();
        inbox = base.inbox();
        counts = new FrontMetrics(
                set.routes().entries().stream().map(RouteTable.Entry::name).toList());
        lanes = new PartitionedDecider(set.decisionSettings(), set.seed(), maker);
        decider = guarded ? lanes : maker.create(set.decisionSettings(), set.seed());
        List<Settings.Route> routes = set.decisionSettings().routes();
        int self = set.decisionSettings().nodeIndex();
        dialect = new StandaloneProtocol(
                set.routes(),
                r -> routes.get(r).timeoutTicks(),
                self + "/" + life,
                set.upstream().healthCheckPath());
        httpThreads = LoopThreads.fixedPool(loop, "front-news", 2);
        HttpClient http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .executor(httpThreads)
                .connectTimeout(Duration.ofSeconds(2))
                .build();
        told = new ControlPlaneEvents(set, life, loop, new EndpointListCache(set.stateDirectory(), base.timer()));
        // by number too: fronts set to one seed would still come back in step
        long pauses = 2 * (set.seed() * 100_003 + self);
        list = set.endpointListAddress() == null
                ? null
                : new EndpointListSource(
                        http,
                        base(set.endpointListAddress()),
                        base.timer(),
                        loop,
                        !set.decisionSettings().capabilities().endpointPolling(),
                        pauses,
                        new EndpointListSource.Sink() {
                            @Override
                            public void list(laurelkeel.front.controlplane.EndpointListMessage line, long arrived) {
                                Event.EndpointListUpdate l = told.list(line, arrived);
                                reports.list(l);
                                inbox.add(l);
                            }

                            @Override
                            public void failed() {
                                inbox.add(new Event.EndpointListUpdate(Event.EndpointListKind.FAILED, List.of()));
                            }
                        });
        release = set.rolloutServiceAddress() == null
                ? null
                : new RolloutSource(
                        http,
                        base(set.rolloutServiceAddress()),
                        self,
                        base.timer(),
                        loop,
                        pauses + 1,
                        new RolloutSource.Sink() {
                            @Override
                            public void news(RolloutMessage line, long arrived) {
                                told.news(line, arrived).forEach(inbox::add);
                                blamed(line);
                            }

                            @Override
                            public void voted(String answer, int build, RolloutMessage line, long arrived) {
                                inbox.add(told.voted(answer, build, line, arrived));
                            }
                        });
        reports = new AttributionReporter(set.decisionSettings(), life, r -> {
            if (release != null) {
                release.report(r);
            }
        });
        notes = set.gossipAddress() == null
                ? null
                : new GossipChannel(
                        set.decisionSettings().nodeIndex(),
                        set.gossipAddress(),
                        set.gossipPeers(),
                        loop,
                        base.socketThreads(),
                        (from, bytes) -> inbox.add(new Event.GossipReceived(from, bytes)));
        // the list kept from the life before is known from the first turn on
        Event.EndpointListUpdate kept = told.remembered();
        reports.list(kept);
        inbox.add(kept);
    }

    private static String base(InetSocketAddress a) {
        return "http://" + a.getHostString() + ":" + a.getPort();
    }

    @Override
    public Decider decider() {
        return decider;
    }

    @Override
    public Protocol protocol() {
        return dialect;
    }

    private void measure(FrontStatus front) {
        counts.gauge("laurelkeel_lanes", lanes::openPartitions);
        counts.gauge("laurelkeel_reqs_held", front::activeRequests);
        counts.gauge("laurelkeel_client_connections", front::clientConnections);
        counts.gauge("laurelkeel_machine_connections", front::endpointConnections);
        counts.gauge("laurelkeel_loop_backlog", loop::queuedTasks);
        counts.gauge("laurelkeel_loop_failures", loop::failedTasks);
        counts.gauge("laurelkeel_turned_away", front::rejectedBeforeDecision);
        for (CloseReason why : CloseReason.values()) {
            counts.gauge(
                    "laurelkeel_client_connections_closed",
                    "reason",
                    why.name().toLowerCase(Locale.ROOT),
                    () -> front.closedConnections().getOrDefault(why, 0L));
        }
        counts.gauge("laurelkeel_body_bytes_held", front::bodyBytes);
        counts.gauge("laurelkeel_records_lost", told::lost);
        counts.gauge("laurelkeel_report_cells_left_out", () -> reports.leftOut);
        counts.gauge("laurelkeel_log_lines_left_out", RateLimitedAsyncAppender::leftOut);
        counts.gauge("laurelkeel_process_cpu_seconds", ProcessMetrics::cpuSeconds);
        counts.gauge("laurelkeel_allocated_bytes", ProcessMetrics::allocatedBytes);
        counts.gauge("laurelkeel_heap_bytes", ProcessMetrics::heapBytes);
    }

    @Override
    public void start(FrontStatus front) throws IOException {
        measure(front);
        loop.post(this::report);
        if (notes != null) {
            notes.open();
        }
        if (set.adminAddress() != null) {
            admin = new AdminServer(base.socketThreads(), set.adminAddress(), front::health, counts::text);
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
    public List<Runnable> closeTasks() {
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
        loop.schedule(loop.nowTicks() + 5_000, this::report);
        reports.tell(loop.nowTicks());
    }

    /** What the release line says of a build beside its news. */
    private void blamed(RolloutMessage line) {
        PartitionedDecider.Attribution word;
        try {
            word = line.blame() == null
                    ? PartitionedDecider.Attribution.NONE
                    : PartitionedDecider.Attribution.valueOf(
                            line.blame().toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            LOG.warn("the release line's blame '{}' is unknown and counts for none", line.blame());
            word = PartitionedDecider.Attribution.NONE;
        }
        if (word != blames.getOrDefault(line.build(), PartitionedDecider.Attribution.NONE)) {
            blames.put(line.build(), word);
            LOG.info("blame on build {}: {}", line.build(), word);
            counts.add("laurelkeel_blame_total", "word", word.name().toLowerCase(Locale.ROOT));
        }
        lanes.attribute(line.build(), word);
    }

    @Override
    public EndpointAddress addressOf(String machine) {
        // the list's names are addresses; they are resolved once while a machine's connections are in use
        return places.computeIfAbsent(machine, m -> {
            if (places.size() > MOST_PLACES) {
                places.clear();
            }
            return new EndpointAddress(m, resolved(m));
        });
    }

    private static InetSocketAddress resolved(String machine) {
        try {
            InetSocketAddress a = IniSection.address(machine);
            return a == null || a.isUnresolved() ? null : a;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    @Override
    public HttpResponse answerNodeRequest(HttpRequest http, String health) {
        String ref = new String(http.body(), StandardCharsets.UTF_8).strip();
        ResponseReferences.Answer c = refs.take(numberOf(ref));
        if (c == null) {
            return StandaloneProtocol.plain(
                    404,
                    "no answer of this front has that " + HeaderNames.RESPONSE_REFERENCE
                            + ", or it was too long ago or told before");
        }
        inbox.add(new Event.ComplaintReceived(c.machine(), loop.nowTicks() - c.sentAt(), c.route()));
        reports.wrong(c.sentAt(), c.machine(), c.route(), c.customer());
        counts.add("laurelkeel_complaints_total", "known", "yes");
        return StandaloneProtocol.plain(202, "noted");
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
    public void castVote(Action.CastVote v) {
        String verdict = WireTerms.verdict(v.verdict());
        counts.add("laurelkeel_votes_total", "verdict", verdict);
        if (release == null) {
            inbox.add(new Event.RolloutUpdate(Event.ControlStatus.FAILED, 0, 0, 0, Event.RolloutPhase.CANARY, 0, true));
            return;
        }
        release.vote(
                new RolloutMessage.Ballot(set.decisionSettings().nodeIndex(), v.build(), v.stage(), verdict),
                Math.max(1, set.decisionSettings().rollout().voteTimeoutTicks() / 10));
    }

    @Override
    public void watchEndpoints(boolean on) {
        if (list != null) {
            list.watch(on);
        }
    }

    @Override
    public void fetchEndpoints() {
        if (list != null) {
            list.fetch();
        }
    }

    @Override
    public void sendGossip(int to, byte[] bytes) {
        if (notes != null && set.decisionSettings().capabilities().gossip()) {
            notes.tell(to, bytes);
            counts.add("laurelkeel_notes_total", "way", "out");
        }
    }

    @Override
    public void onTurn(int events) {
        counts.turn(events);
    }

    @Override
    public void onAttemptStarted(int route) {
        counts.tried(route);
    }

    @Override
    public void onAttemptEnded(String machine, long begunAt, ClientRequest asked, AttemptOutcome outcome) {
        counts.ended(outcome);
        reports.ended(begunAt, loop.nowTicks(), machine, asked.route(), asked.tenant(), outcome);
    }

    @Override
    public void onCompleted(long number, String machine, long begunAt, ClientRequest asked) {
        refs.put(number, machine, begunAt, asked.route(), asked.tenant());
    }

    @Override
    public void onAnswered(RequestOutcome how, long tenths) {
        counts.answered(how, tenths);
    }

    @Override
    public void onOverdue(int route) {
        counts.overdue(route);
    }
}
