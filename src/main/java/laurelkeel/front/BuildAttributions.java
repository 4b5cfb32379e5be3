package laurelkeel.front;

import java.util.HashMap;
import java.util.Map;
import laurelkeel.partition.PartitionedDecider;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes the control service's attribution of each build's regression to the partitions, and logs and counts its
 * changes. Not thread-safe; used on the event loop's thread.
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

    /** Updates a build's attribution as the control service reported it. */
    void update(int build, Attribution attribution) {
        if (attribution != attributions.getOrDefault(build, Attribution.NONE)) {
            attributions.put(build, attribution);
            LOG.info("attribution of a regression to build {} changed: {}", build, attribution);
            metrics.attributionChanged(attribution);
        }
        partitions.attribute(build, attribution);
    }
}
