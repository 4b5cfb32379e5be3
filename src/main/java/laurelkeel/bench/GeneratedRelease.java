package laurelkeel.bench;

import java.util.List;

/** One release of a generated day. Times are in seconds since the start of the day. Not thread-safe. */
final class GeneratedRelease {
    /** Share of the traffic in each stage, from 0 to 1. */
    private static final List<Double> SHARE_BY_STAGE = List.of(0.08, 0.18, 0.28);

    private static final List<Integer> ENDPOINTS_BY_STAGE = List.of(1, 3, 5);
    private static final int MAX_ENDPOINTS = 5;

    private final int build;
    private final int startsAt;
    /** Offset of each endpoint, added to the logarithms of its latencies. */
    private final double[] endpointOffsets = new double[MAX_ENDPOINTS];

    private final BadOutcomeRate ownOutcomes = new BadOutcomeRate();
    private final BadOutcomeRate otherOutcomes = new BadOutcomeRate();
    private int stage;
    private long stageSince;
    private boolean ended;

    GeneratedRelease(int build, int startsAt) {
        this.build = build;
        this.startsAt = startsAt;
    }

    int build() {
        return build;
    }

    int startsAt() {
        return startsAt;
    }

    void generateEndpointOffsets(DayRandom random) {
        for (int i = 0; i < endpointOffsets.length; i++) {
            endpointOffsets[i] = random.nextEndpointOffset();
        }
    }

    double endpointOffset(int endpoint) {
        return endpointOffsets[endpoint];
    }

    /** Returns the number of endpoints that run the build in the current stage. */
    int endpoints() {
        return ENDPOINTS_BY_STAGE.get(stage);
    }

    /**
     * Returns the share of all traffic that the build gets, from 0 to 1; 0 before the release starts and after it ends.
     */
    double share(long now) {
        return ended || now < startsAt ? 0 : SHARE_BY_STAGE.get(stage);
    }

    boolean isLastStage() {
        return stage + 1 == SHARE_BY_STAGE.size();
    }

    void started(long now) {
        stageSince = now;
    }

    void promoted(long now) {
        stage++;
        stageSince = now;
    }

    long secondsInStage(long now) {
        return now - stageSince;
    }

    void end() {
        ended = true;
    }

    /** Returns the bad outcomes among the requests that the build served. */
    BadOutcomeRate ownOutcomes() {
        return ownOutcomes;
    }

    /** Returns the bad outcomes among all other requests while the build got part of the traffic. */
    BadOutcomeRate otherOutcomes() {
        return otherOutcomes;
    }
}
