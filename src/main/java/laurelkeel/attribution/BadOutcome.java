package laurelkeel.attribution;

import laurelkeel.attribution.AttributionFinding.Kind;

/** A bad outcome of an attempt, as counted by nodes. */
enum BadOutcome {
    /** The attempt was answered with an error. */
    FAILED(Kind.FAILS),
    /** The attempt got no answer. */
    UNANSWERED(Kind.SILENCE),
    /** A client complained about the answer. */
    WRONG(Kind.WRONG);

    private final Kind findingKind;

    BadOutcome(Kind findingKind) {
        this.findingKind = findingKind;
    }

    /** Returns the kind of a finding that is based on an increase of this outcome. */
    Kind findingKind() {
        return findingKind;
    }
}
