package laurelkeel.attribution;

import laurelkeel.attribution.AttributionFinding.Kind;

/** A way in which an attempt can go wrong, as nodes count it. */
enum BadOutcome {
    /** The answer was an error. */
    FAILED(Kind.FAILS),
    /** No answer came. */
    UNANSWERED(Kind.SILENCE),
    /** A client complained of the answer. */
    WRONG(Kind.WRONG);

    private final Kind findingKind;

    BadOutcome(Kind findingKind) {
        this.findingKind = findingKind;
    }

    /** What a finding calls it. */
    Kind findingKind() {
        return findingKind;
    }
}
