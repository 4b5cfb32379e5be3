package laurelkeel.attribution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/**
 * Chooses which of one second's cells a canary is compared by: its own and those of the reference builds, without single
 * endpoints and tenants whose failures are not their build's. Not thread-safe.
 */
final class ComparisonFilter {
    private final int build;
    private final IntPredicate isReference;
    private final RecentTraffic traffic;
    private final @Nullable String outlierEndpoint;
    private final int excludedTenant;
    private final Set<String> excludedEndpoints = new HashSet<>();
    /** The least responsive endpoint of each build: its silence says nothing of the build. */
    private final Set<String> leastResponsiveEndpoints = new HashSet<>();

    private final Map<Integer, Boolean> knownReferences = new HashMap<>();

    /**
     * Creates the filter of one second.
     *
     * @param build the canary
     * @param isReference whether a build is one to compare with
     * @param traffic of the last seconds, this one included
     */
    ComparisonFilter(int build, IntPredicate isReference, RecentTraffic traffic) {
        this.build = build;
        this.isReference = isReference;
        this.traffic = traffic;
        outlierEndpoint = traffic.outlierEndpoint(build);
        excludedTenant = traffic.outlierTenantOfAllBuilds(build);
        RecentTraffic.addIfPresent(outlierEndpoint, excludedEndpoints);
        RecentTraffic.addIfPresent(traffic.leastResponsiveEndpoint(build), leastResponsiveEndpoints);
    }

    /** The canary's endpoint that is left out, or null. */
    @Nullable
    String outlierEndpoint() {
        return outlierEndpoint;
    }

    /** The tenant that is left out, or {@link RecentTraffic#NO_TENANT}. */
    int excludedTenant() {
        return excludedTenant;
    }

    boolean isCanary(NodeReport.Cell cell) {
        return cell.build() == build;
    }

    /** Whether a cell counts in the comparison of answers and latencies. */
    boolean accepts(NodeReport.Cell cell) {
        return isCompared(cell.build())
                && !excludedEndpoints.contains(cell.machine())
                && cell.customer() != excludedTenant;
    }

    /** Whether a cell counts in the comparison of attempts without answer. */
    boolean acceptsForSilence(NodeReport.Cell cell) {
        return isCompared(cell.build()) && !leastResponsiveEndpoints.contains(cell.machine());
    }

    private boolean isCompared(int otherBuild) {
        return otherBuild == build || knownReferences.computeIfAbsent(otherBuild, this::checkReference);
    }

    private boolean checkReference(int otherBuild) {
        if (!isReference.test(otherBuild)) {
            return false;
        }
        RecentTraffic.addIfPresent(traffic.outlierEndpoint(otherBuild), excludedEndpoints);
        RecentTraffic.addIfPresent(traffic.leastResponsiveEndpoint(otherBuild), leastResponsiveEndpoints);
        return true;
    }
}
