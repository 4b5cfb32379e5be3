package laurelkeel.bench;

import java.util.ArrayList;
import java.util.List;

/**
 * The random plan of one generated release day: two or three releases that start one after another, and at most one of
 * which has a fault. Disturbances that are not caused by a release may be added: an endpoint that stops answering, a
 * burst of traffic, a tenant whose requests often fail, and a node that reports false failures. The probabilities and
 * sizes are assumptions, not taken from real traffic. Times are in seconds since the start of the day.
 */
final class GeneratedDay {
    static final int BASELINE_BUILD = 1;
    static final int FIRST_RELEASE_BUILD = 2;
    static final int BASELINE_ENDPOINTS = 12;
    static final int NODES = 8;
    static final int TENANTS = 10;
    private static final int NEVER = Integer.MAX_VALUE;
    private static final int NO_INDEX = -1;
    private static final int FIRST_RELEASE_START = 10;
    private static final int BURST_SECONDS = 6;
    private static final long SEED_FACTOR = 1_000_003;

    private final ReleaseFault fault;
    private final int badBuild;
    /** Severity of the bad release's fault, from 0 to 1. */
    private final double severity;

    private final List<GeneratedRelease> releases = new ArrayList<>();
    private final double[] baselineOffsets = new double[BASELINE_ENDPOINTS];
    private final int unresponsiveFrom;
    private final int unresponsiveSeconds;
    private final String unresponsiveEndpoint;
    private final int misreportingNode;
    private final int failingTenant;
    private final int burstAt;
    private final boolean hasSlowdownsAfterPromotions;

    GeneratedDay(ReleaseFault fault, DayRandom random) {
        this.fault = fault;
        int count = random.nextOneIn(3) ? 3 : 2;
        int startsAt = FIRST_RELEASE_START;
        for (int i = 0; i < count; i++) {
            releases.add(new GeneratedRelease(FIRST_RELEASE_BUILD + i, startsAt));
            // from almost simultaneously to the last seconds of the previous rollout
            startsAt += 1 + random.nextInt(28);
        }
        badBuild = fault == ReleaseFault.NONE ? NaiveRules.NO_BUILD : FIRST_RELEASE_BUILD + random.nextInt(count);
        severity = random.nextDouble();
        for (int i = 0; i < BASELINE_ENDPOINTS; i++) {
            baselineOffsets[i] = random.nextEndpointOffset();
        }
        releases.forEach(release -> release.generateEndpointOffsets(random));
        unresponsiveFrom = random.nextOneIn(2) ? 15 + random.nextInt(60) : NEVER;
        unresponsiveSeconds = 5 + random.nextInt(15);
        unresponsiveEndpoint = randomEndpoint(random);
        misreportingNode = random.nextOneIn(4) ? random.nextInt(NODES) : NO_INDEX;
        failingTenant = random.nextOneIn(4) ? random.nextInt(TENANTS) : NO_INDEX;
        burstAt = random.nextOneIn(3) ? 20 + random.nextInt(80) : NEVER;
        hasSlowdownsAfterPromotions = random.nextOneIn(2);
    }

    /** Returns the random numbers of a day; seed and fault determine the whole day. */
    static DayRandom newRandom(long seed, ReleaseFault fault) {
        return new DayRandom(seed * SEED_FACTOR + faultIndex(fault));
    }

    /** Returns the position of the fault in the enum. Another order would change the days of earlier results. */
    @SuppressWarnings("EnumOrdinal")
    private static int faultIndex(ReleaseFault fault) {
        return fault.ordinal();
    }

    private String randomEndpoint(DayRandom random) {
        int group = random.nextInt(releases.size() + 1);
        return group == releases.size()
                ? baselineEndpoint(random.nextInt(BASELINE_ENDPOINTS))
                : releaseEndpoint(releases.get(group), random.nextInt(3));
    }

    static String baselineEndpoint(int number) {
        return "b" + number;
    }

    static String releaseEndpoint(GeneratedRelease release, int number) {
        return "t" + release.build() + "." + number;
    }

    ReleaseFault fault() {
        return fault;
    }

    List<GeneratedRelease> releases() {
        return releases;
    }

    GeneratedRelease release(int build) {
        return releases.get(build - FIRST_RELEASE_BUILD);
    }

    boolean isBad(int build) {
        return build == badBuild;
    }

    /** Returns the share of the traffic that the bad release gets, from 0 to 1; 0 if no release is bad. */
    double badShare(long now) {
        return badBuild == NaiveRules.NO_BUILD ? 0 : release(badBuild).share(now);
    }

    /** Returns whether a good release gets part of the traffic. */
    boolean hasGoodCanary(long now) {
        return releases.stream().anyMatch(release -> !isBad(release.build()) && release.share(now) > 0);
    }

    /** Returns the value between {@code low} and {@code high} that corresponds to the severity of the fault. */
    double scaledBySeverity(double low, double high) {
        return low + (high - low) * severity;
    }

    double baselineOffset(int endpoint) {
        return baselineOffsets[endpoint];
    }

    boolean isUnresponsive(String endpoint, long now) {
        return endpoint.equals(unresponsiveEndpoint)
                && now >= unresponsiveFrom
                && now < unresponsiveFrom + unresponsiveSeconds;
    }

    /** Returns whether the node reports false failures for the build. */
    boolean reportsFalseFailures(int node, int build) {
        return node == misreportingNode && build == FIRST_RELEASE_BUILD;
    }

    boolean isFailingTenant(int tenant) {
        return tenant == failingTenant;
    }

    boolean isBurst(long now) {
        return now >= burstAt && now < burstAt + BURST_SECONDS;
    }

    /** Returns whether promotions may be followed by a temporary slowdown of all builds. */
    boolean hasSlowdownsAfterPromotions() {
        return hasSlowdownsAfterPromotions;
    }
}
