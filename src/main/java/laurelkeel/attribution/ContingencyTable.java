package laurelkeel.attribution;

/**
 * A two-by-two contingency table of attempts, by build (one build or the builds compared with it) and by outcome (bad
 * or not).
 *
 * @param badAttempts attempts of the build with a bad outcome
 * @param attempts all attempts of the build
 * @param totalBadAttempts attempts of all compared builds with a bad outcome, including the build
 * @param totalAttempts all attempts of all compared builds, including the build
 */
record ContingencyTable(int badAttempts, int attempts, int totalBadAttempts, int totalAttempts) {

    /** Returns whether the margins allow only one table, which therefore carries no information. */
    boolean isDegenerate() {
        return totalBadAttempts == 0 || totalBadAttempts == totalAttempts || attempts == 0 || attempts == totalAttempts;
    }
}
