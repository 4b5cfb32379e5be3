package laurelkeel.front;

import java.util.HashMap;
import java.util.Map;
import laurelkeel.partition.PartitionedDecider;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hands the partitions what regressions of builds are attributed to, and logs and counts changes. Not thread-safe; used on
 * the event loop's thread.
 */
final class BuildAttributions {
    private static final Logger LOG = LoggerFactory.getLogger(BuildAttributions.class);

    private final PartitionedDecider partitions;
    private final FrontMetrics metrics;
    private final Map<Integer, Attribution> attributions = new HashMap<>();

    BuildAttributions(PartitionedDecider partitions, FrontMetrics metrics) {
        this.partitions = partitions;
        this.metrics = metrics;
    }

    /** Takes note of what the control service says of a build. */
    void update(int build, Attribution attribution) {
        if (attribution != attributions.getOrDefault(build, Attribution.NONE)) {
            attributions.put(build, attribution);
            LOG.info("regression of build {} is attributed: {}", build, attribution);
            metrics.attributionChanged(attribution);
        }
        partitions.attribute(build, attribution);
    }
}
