package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.math3.distribution.HypergeometricDistribution;
import org.junit.jupiter.api.Test;

class OddsRatioEvidenceTest {
    /** This property is the reason that the evidence may be evaluated at any time. */
    @Property(tries = 200)
    void theExpectedRatioUnderTheNullHypothesisIsOne(
            @ForAll @IntRange(min = 1, max = 60) int attempts,
            @ForAll @IntRange(min = 1, max = 200) int otherAttempts,
            @ForAll @DoubleRange(min = 1.5, max = 40) double oddsRatio,
            @ForAll @IntRange(min = 1, max = 50) int badAttempts) {
        int totalAttempts = attempts + otherAttempts;
        int totalBadAttempts = Math.min(badAttempts, totalAttempts);
        HypergeometricDistribution nullDistribution =
                new HypergeometricDistribution(null, totalAttempts, attempts, totalBadAttempts);
        double mean = 0;
        for (int x = nullDistribution.getSupportLowerBound(); x <= nullDistribution.getSupportUpperBound(); x++) {
            ContingencyTable table = new ContingencyTable(x, attempts, totalBadAttempts, totalAttempts);
            mean += nullDistribution.probability(x)
                    * Math.exp(OddsRatioEvidence.logLikelihoodRatio(table, oddsRatio, 1));
        }
        assertEquals(1, mean, 1e-6);
    }

    @Test
    void aDegenerateTableCarriesNoInformation() {
        for (ContingencyTable table : new ContingencyTable[] {
            new ContingencyTable(0, 5, 0, 20),
            new ContingencyTable(5, 5, 20, 20),
            new ContingencyTable(0, 0, 3, 20),
            new ContingencyTable(3, 20, 3, 20)
        }) {
            assertEquals(0, OddsRatioEvidence.logLikelihoodRatio(table, 4, 1), table.toString());
        }
    }

    @Test
    void largeTablesDoNotOverflow() {
        ContingencyTable even = new ContingencyTable(5_000, 10_000, 10_000, 20_000);
        double logRatio = OddsRatioEvidence.logLikelihoodRatio(even, 40, 1);
        assertTrue(Double.isFinite(logRatio) && logRatio < 0, "log ratio " + logRatio);
        ContingencyTable uneven = new ContingencyTable(9_500, 10_000, 10_000, 20_000);
        assertTrue(OddsRatioEvidence.logLikelihoodRatio(uneven, 40, 1) > 0);
    }
}
