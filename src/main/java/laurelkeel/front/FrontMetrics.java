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
import java.util.function.Supplier;
import laurelkeel.api.Event.AttemptOutcome;

/**
 * What a front counts of itself, in Prometheus' text form. Names: docs/front.md. What every req counts is registered
 * ahead, so that counting allocates nothing.
 */
final class FrontMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Counter> rare = new HashMap<>();
    private final List<Counter> tries = new ArrayList<>();
    private final List<Counter> overdue = new ArrayList<>();
    private final Map<AttemptOutcome, Counter> outcomes = new EnumMap<>(AttemptOutcome.class);
    private final Map<RequestOutcome, Counter> ends = new EnumMap<>(RequestOutcome.class);
    private final DistributionSummary took = DistributionSummary.builder("laurelkeel_answer_ms")
            .description("time from taking a req to its final answer")
            .serviceLevelObjectives(1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)
            .register(registry);
    private final DistributionSummary turn = DistributionSummary.builder("laurelkeel_turn_events")
            .description("events handed to the decider at once")
            .register(registry);

    FrontMetrics(List<String> routes) {
        for (String route : routes) {
            tries.add(counter("laurelkeel_tries_total", "route", route));
            overdue.add(counter("laurelkeel_overdue_total", "route", route));
        }
        for (AttemptOutcome o : AttemptOutcome.values()) {
            outcomes.put(o, counter("laurelkeel_outcomes_total", "outcome", WireTerms.metricLabel(o)));
        }
        for (RequestOutcome e : RequestOutcome.values()) {
            ends.put(e, counter("laurelkeel_answers_total", "answer", WireTerms.metricLabel(e)));
        }
    }

    private Counter counter(String name, String tag, String value) {
        return Counter.builder(name).tag(tag, value).register(registry);
    }

    /** For what is rare. Front's thread only. */
    void add(String name, String tag, String value) {
        rare.computeIfAbsent(name + '/' + value, k -> counter(name, tag, value)).increment();
    }

    void tried(int route) {
        tries.get(route).increment();
    }

    void overdue(int route) {
        overdue.get(route).increment();
    }

    void ended(AttemptOutcome outcome) {
        outcomes.get(outcome).increment();
    }

    void answered(RequestOutcome how, long tenths) {
        ends.get(how).increment();
        took.record(tenths / 10.0);
    }

    void turn(int events) {
        turn.record(events);
    }

    void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    void gauge(String name, String tag, String value, Supplier<Number> of) {
        Gauge.builder(name, of).tag(tag, value).register(registry);
    }

    String text() {
        return registry.scrape();
    }
}
