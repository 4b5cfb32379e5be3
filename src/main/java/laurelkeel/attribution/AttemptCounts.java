package laurelkeel.attribution;

/** Tries and what befell them. */
final class AttemptCounts {
    int tries, rated;
    final int[] hits = new int[3];
    double logTime, logSquare;
    static final int FAILS = 0, SILENT = 1, WRONG = 2;

    void add(NodeReport.Cell c) {
        tries += c.tries();
        hits[FAILS] += c.fails();
        hits[SILENT] += c.silent();
        hits[WRONG] += c.wrongs();
        rated += c.rated();
        logTime += c.logTime();
        logSquare += c.logSquare();
    }

    void add(AttemptCounts o, int sign) {
        tries += sign * o.tries;
        for (int i = 0; i < hits.length; i++) {
            hits[i] += sign * o.hits[i];
        }
        rated += sign * o.rated;
        logTime += sign * o.logTime;
        logSquare += sign * o.logSquare;
    }

    /** Bad answers, silence apart. */
    int answered() {
        return hits[FAILS] + hits[WRONG];
    }

    double rate() {
        return tries == 0 ? 0 : answered() / (double) tries;
    }
}
