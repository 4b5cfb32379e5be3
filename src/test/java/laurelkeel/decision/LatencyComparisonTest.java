package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;

class LatencyComparisonTest {
    private final LatencyComparison comparison = new LatencyComparison(3);

    private static BuildOutcomes answers(int count, double ratio) {
        BuildOutcomes outcomes = new BuildOutcomes();
        for (int i = 0; i < count; i++) {
            outcomes.addLatencyRatio(ratio + (i % 2 == 0 ? 0.2 : -0.2));
        }
        return outcomes;
    }

    /** Returns the latencies of warm endpoints with these ratios to the expected latency. */
    private static List<EndpointLatency> endpoints(double... ratios) {
        return DoubleStream.of(ratios)
                .mapToObj(ratio -> {
                    EndpointLatency endpoint = new EndpointLatency();
                    for (int i = 0; i < 200; i++) {
                        endpoint.recordRatio(ratio);
                        endpoint.countWarmAnswer();
                    }
                    return endpoint;
                })
                .toList();
    }

    @Test
    void findsABuildMoreThanTwiceAsSlow() {
        assertNotNull(comparison.compare(answers(40, 2.5), answers(40, 1), endpoints(2.5, 2.5)));
        assertNull(comparison.compare(answers(40, 1.9), answers(40, 1), endpoints(1.9, 1.9)));
    }

    @Test
    void treatsABaselineFasterThanExpectedAsExpected() {
        assertNull(comparison.compare(answers(40, 1.5), answers(40, 0.5), endpoints(1.6, 1.6)));
    }

    @Test
    void ignoresSmallSamples() {
        assertNull(comparison.compare(answers(39, 3), answers(40, 1), endpoints(3, 3)));
        assertNull(comparison.compare(answers(40, 3), answers(39, 1), endpoints(3, 3)));
    }

    @Test
    void ignoresASingleSlowEndpoint() {
        assertNull(comparison.compare(answers(100, 3), answers(100, 1), endpoints(3)));
        assertNull(comparison.compare(answers(100, 3), answers(100, 1), endpoints(9, 1, 1)));
    }

    @Test
    void requiresFiveOfSixEndpointsToBeSlow() {
        assertNotNull(comparison.compare(answers(100, 3), answers(100, 1), endpoints(3, 3, 3, 3, 3, 1)));
        assertNull(comparison.compare(answers(100, 3), answers(100, 1), endpoints(3, 3, 3, 3, 1)));
    }

    @Test
    void ignoresEndpointsWithFewAnswers() {
        EndpointLatency notMeasured = new EndpointLatency();
        for (int i = 0; i < 4; i++) {
            notMeasured.countWarmAnswer();
        }
        List<EndpointLatency> measured = endpoints(3, 3);
        List<EndpointLatency> all = List.of(measured.get(0), notMeasured, measured.get(1));
        assertNotNull(comparison.compare(answers(100, 3), answers(100, 1), all));
    }
}
