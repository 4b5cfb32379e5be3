/**
 * The interface between a front node and its {@link laurelkeel.api.Decider}: the node passes in {@link
 * laurelkeel.api.Event events} and executes the {@link laurelkeel.api.Action actions} that the decider returns. The
 * {@link laurelkeel.api.Settings} are fixed at the start. The package is independent of sockets, clocks and threads.
 *
 * <p>All times are {@link laurelkeel.api.Ticks ticks} of a tenth of a millisecond on a monotonic clock.
 */
@NullMarked
package laurelkeel.api;

import org.jspecify.annotations.NullMarked;
