/**
 * Every decision of one front node: {@link laurelkeel.decision.RoutingDecider} takes events, asks one module for each
 * rule, and gives back actions. docs/design.md explains the rules.
 *
 * <p>The modules are pure: no I/O, clock, thread or random source of their own. Moments are passed in, in
 * {@link laurelkeel.api.Ticks ticks} on a clock that only advances. They are not thread-safe; each belongs to one decider
 * and is used by that decider's caller only.
 */
@NullMarked
package laurelkeel.decision;

import org.jspecify.annotations.NullMarked;
