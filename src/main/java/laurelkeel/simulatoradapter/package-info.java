/**
 * The adapter to the users' simulator: hosts one decider per simulated front node and translates between it and the
 * simulator's line protocol 'cedar-a60e'. It makes no decisions itself.
 */
@NullMarked
package laurelkeel.simulatoradapter;

import org.jspecify.annotations.NullMarked;
