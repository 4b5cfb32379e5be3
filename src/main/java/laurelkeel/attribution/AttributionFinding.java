package laurelkeel.attribution;

import java.util.List;

/**
 * The current result for one build: whether it causes a regression, and by which evidence. Component and constant names
 * appear as they are in the rollout service's JSON response.
 *
 * @param build number of the build
 * @param probability posterior probability that the build causes a regression, from 0 to 1
 * @param kind the kind of the strongest evidence against the build
 * @param effect how much worse the build is: a difference of shares from 0 to 1, or for {@link Kind#SLOW} and {@link
 *     Kind#HARMS_ALL} a ratio of latencies
 * @param low lower limit of the effect's 95% confidence interval
 * @param high upper limit of the effect's 95% confidence interval
 * @param evidence one sentence that summarizes the evidence for operators
 * @param considered one sentence for each other cause that was examined, with the result
 * @param hold whether a regression is open, so that the build must not be promoted yet
 * @param setAside whether to roll the build back to see whether a regression ends with it: a regression of all builds
 *     has persisted, and several rollouts explain it equally well
 * @param afterSeconds seconds since the rollout started
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

    /** A conclusion about a build. */
    public enum Verdict {
        /** The build causes a regression. */
        GUILTY,
        /** The build causes no regression that is large enough to matter. */
        CLEARED,
        /** There is not enough evidence for either conclusion. */
        NOT_YET_KNOWN
    }

    /** A way in which a build can be worse than the reference builds. */
    public enum Kind {
        /** A larger share of its attempts is answered with an error. */
        FAILS,
        /** A larger share of its attempts gets no answer. */
        SILENCE,
        /** Clients complain about a larger share of its answers. */
        WRONG,
        /** Its latencies are higher. */
        SLOW,
        /** All builds get worse as its share of the traffic grows. */
        HARMS_ALL
    }
}
