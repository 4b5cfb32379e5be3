package laurelkeel.attribution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/**
 * Selects the cells of one second that are used to compare a canary with the reference builds: those of the canary and
 * of the reference builds, except endpoints and tenants whose failures are not caused by their build. Not thread-safe.
 */
final class ComparisonFilter {
    private final int build;
    private final IntPredicate isReference;
    private final RecentTraffic traffic;
    private final @Nullable String outlierEndpoint;
    private final int excludedTenant;
    private final Set<String> excludedEndpoints = new HashSet<>();
    /** The endpoint of each build with the most unanswered attempts; these carry no information about the build. */
    private final Set<String> leastResponsiveEndpoints = new HashSet<>();

    private final Map<Integer, Boolean> knownReferences = new HashMap<>();

    /**
     * Creates the filter of one second.
     *
     * @param build the canary
     * @param isReference whether a build is a reference build
     * @param traffic the traffic of the last seconds, including this one
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

    /** Returns the canary's endpoint that is excluded as an outlier, or null. */
    @Nullable
    String outlierEndpoint() {
        return outlierEndpoint;
    }

    /** Returns the tenant that is excluded, or {@link RecentTraffic#NO_TENANT}. */
    int excludedTenant() {
        return excludedTenant;
    }

    boolean isCanary(NodeReport.Cell cell) {
        return cell.build() == build;
    }

    /** Returns whether a cell is used in the comparison of answers and latencies. */
    boolean accepts(NodeReport.Cell cell) {
        return isCompared(cell.build())
                && !excludedEndpoints.contains(cell.machine())
                && cell.customer() != excludedTenant;
    }

    /** Returns whether a cell is used in the comparison of unanswered attempts. */
    boolean acceptsForUnanswered(NodeReport.Cell cell) {
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
