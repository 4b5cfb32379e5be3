package laurelkeel.testbed;

/** What lets a rollout enter its next stage. */
public enum PromotionPolicy {
    /** The first vote for it. */
    FIRST_VOTE,
    /** A number of votes for it. */
    VOTE_COUNT,
    /** Time, unless nodes or the attribution hold it. */
    AUTOMATIC
}
