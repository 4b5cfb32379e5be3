/**
 * Concurrent rollouts behind one front node: the traffic is divided into partitions, and each rollout gets a partition
 * with a {@link laurelkeel.api.Decider} of its own. {@link laurelkeel.partition.PartitionedDecider} is the only public
 * type; every other type has a single responsibility, and none uses sockets, clocks or threads.
 */
@NullMarked
package laurelkeel.partition;

import org.jspecify.annotations.NullMarked;
