package laurelkeel.testbed;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.ServiceTerms.VoteAnswer;
import org.jspecify.annotations.Nullable;

/**
 * A simulated rollout service: deploys new builds to the servers in stages, one or several at a time, counts the nodes'
 * votes, promotes or rolls back, and publishes the state of rollouts with a delay. It aggregates the nodes' reports and
 * attributes regressions. It can be made to stall or to publish with an additional delay. Public methods must be called
 * on the loop's thread.
 */
public final class RolloutService {
    private static final String WATCH_PATH = "/release/watch";
    private static final String VOTES_PATH = "/release/votes";
    private static final String REPORTS_PATH = "/release/reports";
    private static final String ATTRIBUTION_PATH = "/release/blame";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final long LOOP_TIMEOUT_SECONDS = 5;
    /** How long a stalled service holds a vote's connection open without an answer; longer than nodes wait. */
    private static final long STALLED_ANSWER_MILLIS = 5_000;

    private record ReportAnswer(String answer) {}

    private final EventLoop loop;
    private final SimulatedFleet fleet;
    private final RolloutPolicy policy;
    private final Consumer<TrafficRecord> records;
    private final JsonLineService service = new JsonLineService();
    private final RolloutRegistry rollouts = new RolloutRegistry();
    private final RolloutServiceFaults faults = new RolloutServiceFaults();
    private final AttributionService attribution;
    private final RolloutPublisher publisher;
    private final VoteHandler voteHandler;
    private @Nullable RolloutController controller;

    /**
     * Creates a service that has not started.
     *
     * @throws IOException if no port can be opened
     */
    public RolloutService(
            EventLoop loop, SimulatedFleet fleet, RolloutPolicy policy, int routeCount, Consumer<TrafficRecord> records)
            throws IOException {
        this.loop = loop;
        this.fleet = fleet;
        this.policy = policy;
        this.records = records;
        this.attribution = new AttributionService(routeCount);
        this.publisher = new RolloutPublisher(fleet, policy, rollouts, attribution, faults, service);
        this.voteHandler = new VoteHandler(fleet, policy, rollouts, faults, records);
        service.handle(WATCH_PATH, this::watch);
        service.handle(VOTES_PATH, this::vote);
        service.handle(REPORTS_PATH, this::report);
        service.handle(
                ATTRIBUTION_PATH, exchange -> JsonLineService.respond(exchange, OK, callOnLoop(attribution::summary)));
    }

    /** Starts the initial servers, warm, with a released build, and returns the service's address. */
    public InetSocketAddress start(BuildProfile firstBuild, int serverCount) {
        FleetReplacer replacer = new FleetReplacer(fleet, policy, rollouts, serverCount);
        RolloutController started = new RolloutController(
                loop, policy, rollouts, attribution, faults, publisher, replacer, records, firstBuild);
        controller = started;
        service.start();
        publisher.publishRepeatedly();
        started.start();
        return service.address();
    }

    /** Ends all watches and closes the port. */
    public void close() {
        service.close();
    }

    /** Stops publishing and answering votes until a given time; some of the unanswered votes are still counted. */
    public void stallUntil(long untilTicks) {
        faults.stallUntil(untilTicks);
        loop.schedule(untilTicks, publisher::publish);
    }

    /** Publishes with an additional delay until a given time. */
    public void delayUntil(long untilTicks, long delayTicks) {
        faults.delayUntil(untilTicks, delayTicks);
    }

    /** Starts a build's rollout as soon as the policy allows. */
    public void offer(BuildProfile build) {
        controller().offer(build);
    }

    /** Returns the state of all rollouts in one line. */
    public String summary() {
        return controller().summary();
    }

    private RolloutController controller() {
        if (controller == null) {
            throw new IllegalStateException("the rollout service has not started");
        }
        return controller;
    }

    private <T> T callOnLoop(Supplier<T> call) throws IOException {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> result.complete(call.get()));
        try {
            return result.get(LOOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new IOException(e);
        }
    }

    private void watch(HttpExchange exchange) throws IOException {
        if (faults.isStalled(loop.clockTicks())) {
            JsonLineService.respond(exchange, UNAVAILABLE, null);
            return;
        }
        JsonLineService.Watcher watcher = new JsonLineService.Watcher();
        loop.post(() -> publisher.publishTo(watcher));
        service.stream(exchange, watcher);
    }

    private void report(HttpExchange exchange) throws IOException {
        if (faults.isStalled(loop.clockTicks())) {
            JsonLineService.respond(exchange, UNAVAILABLE, null);
            return;
        }
        try {
            ReceivedReport report = ReceivedReport.parse(JsonLineService.readBody(exchange));
            boolean isCounted = callOnLoop(() -> attribution.addReport(report, loop.nowTicks()));
            JsonLineService.respond(exchange, OK, new ReportAnswer(isCounted ? "ok" : "left out"));
        } catch (InvalidReportException e) {
            JsonLineService.respond(exchange, BAD_REQUEST, new ReportAnswer(String.valueOf(e.getMessage())));
        }
    }

    private void vote(HttpExchange exchange) throws IOException {
        VoteHandler.Vote vote = VoteHandler.Vote.parse(JsonLineService.readBody(exchange));
        RolloutUpdateMessage answer = callOnLoop(() -> handleVote(vote)).orElse(null);
        if (answer == null) {
            waitWithoutAnswer();
            return;
        }
        JsonLineService.respond(exchange, OK, answer);
    }

    private Optional<RolloutUpdateMessage> handleVote(VoteHandler.Vote vote) {
        VoteAnswer answer = voteHandler.handle(vote);
        if (answer == null) {
            return Optional.empty();
        }
        Rollout rollout = rollouts.get(vote.build());
        return Optional.of(publisher.voteAnswer(rollout == null ? controller().latest() : rollout, answer));
    }

    private static void waitWithoutAnswer() throws IOException {
        try {
            Thread.sleep(STALLED_ANSWER_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
