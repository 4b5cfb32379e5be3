/**
 * A front node: it hosts one decider, translates what happens on sockets and in the control plane into events, and
 * carries out the decider's actions. It makes no decisions itself. docs/front.md describes how each event and action is
 * mapped.
 */
@NullMarked
package laurelkeel.front;

import org.jspecify.annotations.NullMarked;
