package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import laurelkeel.attribution.AttributionFinding.Kind;
import org.junit.jupiter.api.Test;

class LogProbabilityTest {
    @Test
    void logSumExpNeitherOverflowsNorUnderflows() {
        assertEquals(Math.log(5), LogProbability.logSumExp(Math.log(2), Math.log(3)), 1e-12);
        assertEquals(1_000 + Math.log(2), LogProbability.logSumExp(1_000, 1_000), 1e-9);
        assertEquals(-1_000, LogProbability.logSumExp(-1_000, Double.NEGATIVE_INFINITY), 1e-9);
        assertEquals(Double.NEGATIVE_INFINITY, LogProbability.logSumExp());
    }

    @Test
    void evidenceIsTheWeightedSumOfItsKinds() {
        LogEvidence evidence = new LogEvidence();
        evidence.put(Kind.FAILS, 0.5, Math.log(4));
        evidence.put(Kind.SLOW, 0.25, Math.log(40));
        assertEquals(Math.log(12), evidence.total(), 1e-12);
        assertEquals(Kind.SLOW, evidence.strongestKind());
    }
}
