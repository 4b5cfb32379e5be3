package laurelkeel.attribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Finds single endpoints and tenants whose failures are not caused by their build, in the traffic of the last ten
 * seconds. Not thread-safe.
 */
final class RecentTraffic {
    /** Represents the absence of a tenant; differs from the -1 of a cell that names no tenant. */
    static final int NO_TENANT = -2;

    private static final int WINDOW_SECONDS = 10;

    /** Minimum share of its build's bad answers that an outlier has. */
    private static final double MIN_SHARE_OF_BAD_ANSWERS = 0.6;
    /** Maximum share of its build's attempts that an outlier has; one with more makes up most of the build. */
    private static final double MAX_SHARE_OF_ATTEMPTS = 0.55;
    /** Minimum ratio of an outlier's share of bad answers to that of the others. */
    private static final double MIN_SHARE_RATIO = 4;

    private static final int MIN_BAD_ANSWERS = 3;
    private static final int MIN_OTHER_ATTEMPTS = 10;

    /** The attempts at one endpoint of a build, or those of one tenant at a build. */
    private record Group(int build, @Nullable String endpointId, int tenant) {
        static Group ofEndpoint(int build, String endpointId) {
            return new Group(build, endpointId, NO_TENANT);
        }

        static Group ofTenant(int build, int tenant) {
            return new Group(build, null, tenant);
        }

        boolean isEndpointOf(int otherBuild) {
            return build == otherBuild && endpointId != null;
        }

        boolean isTenantOf(int otherBuild) {
            return build == otherBuild && endpointId == null;
        }
    }

    private final Deque<Map<Group, AttemptCounts>> seconds = new ArrayDeque<>();
    private final Map<Group, AttemptCounts> sums = new HashMap<>();

    void addSecond(ReportedSecond second) {
        Map<Group, AttemptCounts> counts = new HashMap<>();
        second.cellsByNode().values().forEach(cells -> cells.forEach(cell -> addCell(cell, counts)));
        seconds.addLast(counts);
        counts.forEach((group, count) ->
                sums.computeIfAbsent(group, unused -> new AttemptCounts()).add(count));
        if (seconds.size() > WINDOW_SECONDS) {
            seconds.removeFirst().forEach(this::subtract);
        }
    }

    private static void addCell(NodeReport.Cell cell, Map<Group, AttemptCounts> counts) {
        counts.computeIfAbsent(Group.ofEndpoint(cell.build(), cell.machine()), unused -> new AttemptCounts())
                .add(cell);
        if (cell.customer() >= 0) {
            counts.computeIfAbsent(Group.ofTenant(cell.build(), cell.customer()), unused -> new AttemptCounts())
                    .add(cell);
        }
    }

    private void subtract(Group group, AttemptCounts count) {
        sums.computeIfPresent(group, (unused, sum) -> {
            sum.subtract(count);
            return sum.attempts() > 0 ? sum : null;
        });
    }

    /** Returns the number of endpoints of a build that had attempts. */
    int endpointCount(int build) {
        return (int) sums.keySet().stream()
                .filter(group -> group.isEndpointOf(build))
                .count();
    }

    /** Returns the endpoints of a build that carry no information about the build. */
    Set<String> unrepresentativeEndpoints(int build) {
        Set<String> endpoints = new HashSet<>();
        addIfPresent(leastResponsiveEndpoint(build), endpoints);
        addIfPresent(outlierEndpoint(build), endpoints);
        return endpoints;
    }

    /** Adds an endpoint unless it is null. */
    static void addIfPresent(@Nullable String endpointId, Set<String> endpoints) {
        if (endpointId != null) {
            endpoints.add(endpointId);
        }
    }

    /** Returns the endpoint of a build with the most unanswered attempts, or null if all were answered. */
    @Nullable
    String leastResponsiveEndpoint(int build) {
        String endpointId = null;
        int mostUnanswered = 0;
        for (Map.Entry<Group, AttemptCounts> entry : sums.entrySet()) {
            int unanswered = entry.getValue().count(BadOutcome.UNANSWERED);
            if (entry.getKey().isEndpointOf(build) && unanswered > mostUnanswered) {
                endpointId = entry.getKey().endpointId();
                mostUnanswered = unanswered;
            }
        }
        return endpointId;
    }

    /** Returns the one endpoint of a build that has most of its bad answers while the others have few, or null. */
    @Nullable
    String outlierEndpoint(int build) {
        Group outlier = findOutlier(build, true);
        return outlier == null ? null : outlier.endpointId();
    }

    /**
     * Returns the one tenant that has most of a build's bad answers while the others have few, or {@link #NO_TENANT}.
     */
    int outlierTenant(int build) {
        Group outlier = findOutlier(build, false);
        return outlier == null ? NO_TENANT : outlier.tenant();
    }

    /**
     * Returns the one tenant that has most of a build's bad answers and has a similar share of bad answers, or few
     * attempts, at other builds: its failures are not attributed to the build. Returns {@link #NO_TENANT} if there is
     * none.
     */
    int outlierTenantOfAllBuilds(int build) {
        Group outlier = findOutlier(build, false);
        AttemptCounts atBuild = outlier == null ? null : sums.get(outlier);
        if (outlier == null || atBuild == null) {
            return NO_TENANT;
        }
        AttemptCounts atOtherBuilds = new AttemptCounts();
        sums.forEach((group, counts) -> {
            if (group.build() != build && group.tenant() == outlier.tenant()) {
                atOtherBuilds.add(counts);
            }
        });
        boolean isSimilarAtOtherBuilds = atOtherBuilds.attempts() < MIN_OTHER_ATTEMPTS
                || atOtherBuilds.badAnswerShare() * MIN_SHARE_RATIO >= atBuild.badAnswerShare();
        return isSimilarAtOtherBuilds ? outlier.tenant() : NO_TENANT;
    }

    /**
     * Returns the endpoint or tenant that has most of a build's bad answers while the others have few, or null.
     *
     * @param amongEndpoints whether to search the endpoints rather than the tenants
     */
    private @Nullable Group findOutlier(int build, boolean amongEndpoints) {
        AttemptCounts all = new AttemptCounts();
        Group worst = null;
        AttemptCounts worstCounts = new AttemptCounts();
        for (Map.Entry<Group, AttemptCounts> entry : sums.entrySet()) {
            Group group = entry.getKey();
            AttemptCounts counts = entry.getValue();
            if (amongEndpoints ? group.isEndpointOf(build) : group.isTenantOf(build)) {
                all.add(counts);
                if (worst == null || counts.badAnswers() > worstCounts.badAnswers()) {
                    worst = group;
                    worstCounts = counts;
                }
            }
        }
        return isOutlier(worstCounts, all) ? worst : null;
    }

    private static boolean isOutlier(AttemptCounts one, AttemptCounts all) {
        int otherAttempts = all.attempts() - one.attempts();
        if (otherAttempts < MIN_OTHER_ATTEMPTS || one.badAnswers() < MIN_BAD_ANSWERS) {
            return false;
        }
        double shareOfOthers = (all.badAnswers() - one.badAnswers()) / (double) otherAttempts;
        return one.badAnswers() >= MIN_SHARE_OF_BAD_ANSWERS * all.badAnswers()
                && one.attempts() <= MAX_SHARE_OF_ATTEMPTS * all.attempts()
                && shareOfOthers * MIN_SHARE_RATIO <= one.badAnswerShare();
    }
}
