package laurelkeel.bench;

import java.util.List;

/** One release of a generated day; not thread-safe. Times are seconds of the day. */
final class GeneratedRelease {
    /** The share of the traffic and the number of endpoints in each stage. */
    private static final List<Double> SHARE_BY_STAGE = List.of(0.08, 0.18, 0.28);

    private static final List<Integer> ENDPOINTS_BY_STAGE = List.of(1, 3, 5);
    private static final int MAX_ENDPOINTS = 5;

    private final int build;
    private final int startsAt;
    /** What each endpoint adds to the logarithm of its latencies. */
    private final double[] endpointOffsets = new double[MAX_ENDPOINTS];

    private final HitRate ownHits = new HitRate();
    private final HitRate otherHits = new HitRate();
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

    void drawEndpoints(DayRandom random) {
        for (int i = 0; i < endpointOffsets.length; i++) {
            endpointOffsets[i] = random.nextEndpointOffset();
        }
    }

    double endpointOffset(int endpoint) {
        return endpointOffsets[endpoint];
    }

    /** How many endpoints have the build in its stage. */
    int endpoints() {
        return ENDPOINTS_BY_STAGE.get(stage);
    }

    /** The share of all traffic that the build gets, from 0 to 1. */
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

    /** The hits among the requests that the build served. */
    HitRate ownHits() {
        return ownHits;
    }

    /** The hits among all other requests while the build was on trial. */
    HitRate otherHits() {
        return otherHits;
    }
}
