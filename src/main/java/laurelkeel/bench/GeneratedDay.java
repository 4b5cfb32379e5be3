package laurelkeel.bench;

import java.util.ArrayList;
import java.util.List;

/**
 * What is drawn ahead of one generated release day: two or three releases that start one after another, one of them bad in
 * one way or none, among an endpoint that dies, a burst, a bad customer and a node that lies. All figures are invented.
 * Times are seconds of the day.
 */
final class GeneratedDay {
    static final int BASELINE_BUILD = 1;
    static final int FIRST_RELEASE_BUILD = 2;
    static final int BASELINE_ENDPOINTS = 12;
    static final int NODES = 8;
    static final int CUSTOMERS = 10;
    private static final int NEVER = Integer.MAX_VALUE;
    private static final int NOBODY = -1;
    private static final int FIRST_START = 10;
    private static final int BURST_SECONDS = 6;
    private static final long SEED_FACTOR = 1_000_003;

    private final ReleaseFault fault;
    private final int badBuild;
    /** How bad the bad release is, from 0 to 1. */
    private final double severity;

    private final List<GeneratedRelease> releases = new ArrayList<>();
    private final double[] baselineOffsets = new double[BASELINE_ENDPOINTS];
    private final int deadFrom;
    private final int deadSeconds;
    private final String deadEndpoint;
    private final int lyingNode;
    private final int badCustomer;
    private final int burstAt;
    private final boolean slowsAtPromotions;

    GeneratedDay(ReleaseFault fault, DayRandom random) {
        this.fault = fault;
        int count = random.nextOneIn(3) ? 3 : 2;
        int startsAt = FIRST_START;
        for (int i = 0; i < count; i++) {
            releases.add(new GeneratedRelease(FIRST_RELEASE_BUILD + i, startsAt));
            // from nearly at once to the last seconds of the one before
            startsAt += 1 + random.nextInt(28);
        }
        badBuild = fault == ReleaseFault.NONE ? NaiveRules.NO_BUILD : FIRST_RELEASE_BUILD + random.nextInt(count);
        severity = random.nextDouble();
        for (int i = 0; i < BASELINE_ENDPOINTS; i++) {
            baselineOffsets[i] = random.nextEndpointOffset();
        }
        releases.forEach(release -> release.drawEndpoints(random));
        deadFrom = random.nextOneIn(2) ? 15 + random.nextInt(60) : NEVER;
        deadSeconds = 5 + random.nextInt(15);
        deadEndpoint = drawEndpoint(random);
        lyingNode = random.nextOneIn(4) ? random.nextInt(NODES) : NOBODY;
        badCustomer = random.nextOneIn(4) ? random.nextInt(CUSTOMERS) : NOBODY;
        burstAt = random.nextOneIn(3) ? 20 + random.nextInt(80) : NEVER;
        slowsAtPromotions = random.nextOneIn(2);
    }

    /** Draws the random numbers of a day and the day itself from one seed. */
    static DayRandom random(long seed, ReleaseFault fault) {
        return new DayRandom(seed * SEED_FACTOR + faultNumber(fault));
    }

    /** The order of the faults is a part of the recorded days. */
    @SuppressWarnings("EnumOrdinal")
    private static int faultNumber(ReleaseFault fault) {
        return fault.ordinal();
    }

    private String drawEndpoint(DayRandom random) {
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

    /** The share of traffic that the bad release gets, from 0 to 1; 0 where there is none. */
    double badShare(long now) {
        return badBuild == NaiveRules.NO_BUILD ? 0 : release(badBuild).share(now);
    }

    /** Whether a release that is not bad is on trial. */
    boolean hasGoodTrial(long now) {
        return releases.stream().anyMatch(release -> !isBad(release.build()) && release.share(now) > 0);
    }

    /** A value between two by the severity of the fault. */
    double bySeverity(double low, double high) {
        return low + (high - low) * severity;
    }

    double baselineOffset(int endpoint) {
        return baselineOffsets[endpoint];
    }

    boolean isDead(String endpoint, long now) {
        return endpoint.equals(deadEndpoint) && now >= deadFrom && now < deadFrom + deadSeconds;
    }

    /** Whether a node reports false errors of a build. */
    boolean isLie(int node, int build) {
        return node == lyingNode && build == FIRST_RELEASE_BUILD;
    }

    boolean isBadCustomer(int customer) {
        return customer == badCustomer;
    }

    boolean isBurst(long now) {
        return now >= burstAt && now < burstAt + BURST_SECONDS;
    }

    /** Whether promotions may be followed by slow spells of all builds. */
    boolean slowsAtPromotions() {
        return slowsAtPromotions;
    }
}
