/**
 * Several concurrent rollouts behind one front node: the traffic is partitioned, and each rollout gets a partition with
 * a {@link laurelkeel.api.Decider} of its own. {@link laurelkeel.partition.PartitionedDecider} is the only public entry;
 * every other type has one job and knows no socket, clock or thread.
 */
@NullMarked
package laurelkeel.partition;

import org.jspecify.annotations.NullMarked;
