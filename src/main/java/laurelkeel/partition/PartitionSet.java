package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRollouts.NO_BUILD;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import laurelkeel.api.Decider;
import laurelkeel.api.Settings;
import org.jspecify.annotations.Nullable;

/**
 * The partitions of one node, in the order in which they were opened. There is always at least one; the first one acts
 * on behalf of all if the node has to act only once. Not thread-safe.
 */
final class PartitionSet implements Iterable<TrafficPartition> {
    private static final long SEED_FACTOR = 31;

    private final Settings settings;
    private final long seed;
    private final Decider.Factory deciders;
    private final List<TrafficPartition> partitions = new ArrayList<>();
    private int nextId;

    /**
     * Opens the first partition, which is not tied to a particular rollout.
     *
     * @param seed the seed of the first partition's decider; the seeds of later deciders are derived from it
     */
    PartitionSet(Settings settings, long seed, Decider.Factory deciders) {
        this.settings = settings;
        this.seed = seed;
        this.deciders = deciders;
        add(NO_BUILD, seed);
    }

    private TrafficPartition add(int rolloutBuild, long deciderSeed) {
        TrafficPartition partition = new TrafficPartition(
                nextId, rolloutBuild, deciders.create(settings, deciderSeed), ExposureWindow.ofRequests(settings));
        nextId++;
        partitions.add(partition);
        return partition;
    }

    /** Opens a partition for the rollout of a build. */
    TrafficPartition open(int rolloutBuild) {
        return add(rolloutBuild, seed * SEED_FACTOR + nextId);
    }

    TrafficPartition first() {
        return partitions.get(0);
    }

    /** Returns whether there is exactly one partition, closing ones included. */
    boolean isSingle() {
        return partitions.size() == 1;
    }

    /** Returns the number of partitions that take requests. */
    int openCount() {
        int count = 0;
        for (TrafficPartition partition : partitions) {
            count += partition.isClosing() ? 0 : 1;
        }
        return count;
    }

    /** Returns the open partition at an index among the open ones, in their order. */
    TrafficPartition openAt(int index) {
        int openIndex = 0;
        for (TrafficPartition partition : partitions) {
            if (!partition.isClosing()) {
                if (openIndex == index) {
                    return partition;
                }
                openIndex++;
            }
        }
        return first();
    }

    /** Returns the open partition with the given id, or null. */
    @Nullable
    TrafficPartition findOpen(int id) {
        for (TrafficPartition partition : partitions) {
            if (!partition.isClosing() && partition.id() == id) {
                return partition;
            }
        }
        return null;
    }

    /** Returns the first partition of a build's rollout, or null. */
    @Nullable
    TrafficPartition findByRollout(int build) {
        for (TrafficPartition partition : partitions) {
            if (partition.rolloutBuild() == build) {
                return partition;
            }
        }
        return null;
    }

    /** Removes partitions that are closing and have no requests left; one partition always remains. */
    void removeDrained() {
        partitions.removeIf(partition -> partition.isDrained() && partitions.size() > 1);
    }

    @Override
    public Iterator<TrafficPartition> iterator() {
        return partitions.iterator();
    }
}
