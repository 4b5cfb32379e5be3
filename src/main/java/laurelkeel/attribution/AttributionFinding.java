package laurelkeel.attribution;

import java.util.List;

/**
 * What is known of one release.
 *
 * @param probability that it causes harm, by the evidence so far
 * @param kind what speaks most against it: fails, silence, wrong answers, slow, or harm to all
 * @param effect how much worse: a difference of shares, or for slow and harm to all a ratio of times; with low and
 *     high, between which it is in 95 of 100 cases
 * @param evidence one plain sentence
 * @param considered other causes looked at, each with what became of it
 * @param hold blame is open: the release should not go on yet
 * @param setAside harm to all lasts and two releases explain it alike: sending this one back would tell which
 * @param afterSeconds since its offer
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

    public enum Verdict {
        GUILTY,
        CLEARED,
        NOT_YET_KNOWN
    }

    public enum Kind {
        FAILS,
        SILENCE,
        WRONG,
        SLOW,
        HARMS_ALL
    }
}
