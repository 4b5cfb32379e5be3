/**
 * The adapter to the users' simulator: hosts one decider per simulated front node and speaks the simulator's line
 * protocol 'cedar-a60e' for it. It takes no decision.
 */
@NullMarked
package laurelkeel.simulatoradapter;

import org.jspecify.annotations.NullMarked;
