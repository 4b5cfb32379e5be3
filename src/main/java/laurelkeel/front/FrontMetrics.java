package laurelkeel.front;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Ticks;
import laurelkeel.front.controlplane.ControlPlaneTerms;
import laurelkeel.partition.PartitionedDecider.Attribution;

/**
 * The metrics of a standalone front node, in the Prometheus text format. Names: docs/front.md. Counters that each
 * request increments are registered at construction, so that counting allocates nothing. Counting is not thread-safe
 * and runs on the event loop's thread; the text may be read on any thread.
 */
final class FrontMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    /** Counters of rare events by name and label, registered when first incremented. */
    private final Map<String, Counter> rareCounters = new HashMap<>();

    private final List<Counter> attemptsByRoute = new ArrayList<>();
    private final List<Counter> overdueByRoute = new ArrayList<>();
    private final Map<AttemptOutcome, Counter> attemptOutcomes = new EnumMap<>(AttemptOutcome.class);
    private final Map<RequestOutcome, Counter> requestOutcomes = new EnumMap<>(RequestOutcome.class);
    private final DistributionSummary answerMillis = DistributionSummary.builder("laurelkeel_answer_ms")
            .description("time from accepting a request to its final answer")
            .serviceLevelObjectives(1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)
            .register(registry);
    private final DistributionSummary eventsPerTurn = DistributionSummary.builder("laurelkeel_turn_events")
            .description("events handed to the decider at once")
            .register(registry);

    /**
     * Registers the counters that each request increments.
     *
     * @param routes names of the routes by route index
     */
    FrontMetrics(List<String> routes) {
        for (String route : routes) {
            attemptsByRoute.add(counter("laurelkeel_tries_total", "route", route));
            overdueByRoute.add(counter("laurelkeel_overdue_total", "route", route));
        }
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            attemptOutcomes.put(
                    outcome, counter("laurelkeel_outcomes_total", "outcome", WireTerms.metricLabel(outcome)));
        }
        for (RequestOutcome outcome : RequestOutcome.values()) {
            requestOutcomes.put(outcome, counter("laurelkeel_answers_total", "answer", WireTerms.metricLabel(outcome)));
        }
    }

    private Counter counter(String name, String tag, String value) {
        return Counter.builder(name).tag(tag, value).register(registry);
    }

    private void countRare(String name, String tag, String value) {
        rareCounters
                .computeIfAbsent(name + '/' + value, key -> counter(name, tag, value))
                .increment();
    }

    void attemptStarted(int route) {
        attemptsByRoute.get(route).increment();
    }

    void requestOverdue(int route) {
        overdueByRoute.get(route).increment();
    }

    void attemptEnded(AttemptOutcome outcome) {
        Objects.requireNonNull(attemptOutcomes.get(outcome)).increment();
    }

    /** Counts a final answer and records the time from the request's acceptance to it. */
    void answered(RequestOutcome outcome, long durationTicks) {
        Objects.requireNonNull(requestOutcomes.get(outcome)).increment();
        answerMillis.record(durationTicks / (double) Ticks.PER_MILLISECOND);
    }

    void turnEnded(int events) {
        eventsPerTurn.record(events);
    }

    void voteCast(Verdict verdict) {
        countRare("laurelkeel_votes_total", "verdict", ControlPlaneTerms.name(verdict));
    }

    void attributionChanged(Attribution attribution) {
        countRare("laurelkeel_blame_total", "word", WireTerms.metricLabel(attribution));
    }

    void complaintAccepted() {
        countRare("laurelkeel_complaints_total", "known", "yes");
    }

    void gossipSent() {
        countRare("laurelkeel_notes_total", "way", "out");
    }

    void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    void gauge(String name, String tag, String tagValue, Supplier<Number> value) {
        Gauge.builder(name, value).tag(tag, tagValue).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. Thread-safe. */
    String text() {
        return registry.scrape();
    }
}
