/**
 * Several releases on trial at once: one decider a release, each with a lane of the reqs of its own. Pure, as the
 * decider is: events in, actions out. docs/lanes.md says why lanes, and what they cannot do.
 */
package laurelkeel.partition;
