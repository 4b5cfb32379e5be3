/**
 * A test bed for nodes on loopback sockets: simulated servers, an endpoint list service, a rollout service and a load
 * generator, with faults that can be injected. Figures measured with it describe simulated servers, not real ones.
 */
@NullMarked
package laurelkeel.testbed;

import org.jspecify.annotations.NullMarked;
