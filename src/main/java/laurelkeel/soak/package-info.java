/**
 * Runs of real front node processes that are judged from their sockets: with faults that a seed draws
 * ({@link laurelkeel.soak.SoakRun}, docs/soak.md), and with ever more endpoints ({@link laurelkeel.soak.ScaleBench}).
 */
@NullMarked
package laurelkeel.soak;

import org.jspecify.annotations.NullMarked;
