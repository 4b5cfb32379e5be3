/**
 * A front node: it hosts one decider, turns what happens on sockets and in the control plane into events, and carries
 * out the decider's actions. It decides nothing. docs/front.md says how each event and action is carried.
 */
@NullMarked
package laurelkeel.front;

import org.jspecify.annotations.NullMarked;
