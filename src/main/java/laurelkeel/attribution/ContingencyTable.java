package laurelkeel.attribution;

/**
 * A two-by-two table: the attempts of one build and of all builds that are compared, and how many of each went wrong.
 *
 * @param badAttempts attempts of the build that went wrong
 * @param attempts all attempts of the build
 * @param totalBadAttempts attempts of all builds that went wrong
 * @param totalAttempts all attempts of all builds
 */
record ContingencyTable(int badAttempts, int attempts, int totalBadAttempts, int totalAttempts) {

    /** Whether the margins leave only one possible table, which is no evidence. */
    boolean isDegenerate() {
        return totalBadAttempts == 0 || totalBadAttempts == totalAttempts || attempts == 0 || attempts == totalAttempts;
    }
}
