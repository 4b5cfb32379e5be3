/**
 * A test bed on loopback sockets for nodes under trial: simulated servers, an endpoint list service, a rollout service
 * and a load generator, all with faults on demand. Figures got with it are of simulated servers, not of real ones.
 */
@NullMarked
package laurelkeel.testbed;

import org.jspecify.annotations.NullMarked;
