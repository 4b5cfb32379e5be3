/**
 * The interface of the decisions: {@link laurelkeel.api.Event events} go in, {@link laurelkeel.api.Action actions} come
 * out, and {@link laurelkeel.api.Settings} are fixed at the start. It knows no socket, clock or thread.
 *
 * <p>All times are {@link laurelkeel.api.Ticks ticks} of a tenth of a millisecond on a clock that only advances.
 */
@NullMarked
package laurelkeel.api;

import org.jspecify.annotations.NullMarked;
