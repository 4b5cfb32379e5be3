/**
 * The decisions of one front node: {@link laurelkeel.decision.RoutingDecider} receives events, applies one module for each
 * rule, and returns actions. docs/design.md explains the rules.
 *
 * <p>The modules have no I/O, clock, thread or random source of their own. Times are passed in as
 * {@link laurelkeel.api.Ticks ticks} of a monotonic clock. The modules are not thread-safe; each belongs to one decider
 * and is used only by that decider's caller.
 */
@NullMarked
package laurelkeel.decision;

import org.jspecify.annotations.NullMarked;
