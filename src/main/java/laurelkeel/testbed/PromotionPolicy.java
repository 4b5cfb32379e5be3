package laurelkeel.testbed;

/** The condition under which a rollout enters its next stage. */
public enum PromotionPolicy {
    /** The first vote to promote. */
    FIRST_VOTE,
    /** A number of votes to promote. */
    VOTE_COUNT,
    /** The end of the minimum time, unless votes or the attribution hold the stage. */
    AUTOMATIC
}
