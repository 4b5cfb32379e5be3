package laurelkeel.attribution;

/**
 * A two-by-two table: the attempts of one build and of all builds that are compared, and how many of each went wrong.
 *
 * @param hits attempts of the build that went wrong
 * @param attempts all attempts of the build
 * @param totalHits attempts of all builds that went wrong
 * @param totalAttempts all attempts of all builds
 */
record ContingencyTable(int hits, int attempts, int totalHits, int totalAttempts) {

    /** Whether the margins leave only one possible table, which is no evidence. */
    boolean isDegenerate() {
        return totalHits == 0 || totalHits == totalAttempts || attempts == 0 || attempts == totalAttempts;
    }
}
