package laurelkeel.attribution;

import java.util.List;

/**
 * What is known of one build's part in a regression. The components and constants have the names of the rollout
 * service's page of findings.
 *
 * @param probability that the build causes a regression, by the evidence so far, from 0 to 1
 * @param kind the strongest evidence against it
 * @param effect how much worse the build is: a difference of shares, or for {@link Kind#SLOW} and {@link Kind#HARMS_ALL}
 *     a ratio of latencies
 * @param low lower limit of the effect's 95% confidence interval
 * @param high upper limit of the effect's 95% confidence interval
 * @param evidence one sentence for people
 * @param considered other causes that were looked at, each with the result
 * @param hold whether a regression is open: the build should not be promoted yet
 * @param setAside whether to roll the build back in order to learn more: a regression of all builds lasts, and two
 *     rollouts explain it alike
 * @param afterSeconds since the rollout started
 */
public record AttributionFinding(
        int build,
        Verdict verdict,
        double probability,
        Kind kind,
        double effect,
        double low,
        double high,
        String evidence,
        List<String> considered,
        boolean hold,
        boolean setAside,
        long afterSeconds) {

    /** What the evidence says of a build. */
    public enum Verdict {
        /** It causes a regression. */
        GUILTY,
        /** It causes none that matters. */
        CLEARED,
        /** There is not enough evidence for either. */
        NOT_YET_KNOWN
    }

    /** A way in which a build can be worse. */
    public enum Kind {
        /** More of its answers are errors. */
        FAILS,
        /** More of its attempts get no answer. */
        SILENCE,
        /** Clients complain of more of its answers. */
        WRONG,
        /** Its answers take longer. */
        SLOW,
        /** All builds get worse with its share of the traffic. */
        HARMS_ALL
    }
}
