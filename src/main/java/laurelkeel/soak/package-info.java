/**
 * Runs of real front node processes that are checked by their behavior at the network sockets: with random faults generated
 * from a seed ({@link laurelkeel.soak.SoakRun}, docs/soak.md), and with increasing numbers of endpoints
 * ({@link laurelkeel.soak.ScaleBench}).
 */
@NullMarked
package laurelkeel.soak;

import org.jspecify.annotations.NullMarked;
