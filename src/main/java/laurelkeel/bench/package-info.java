/**
 * Benchmarks: the routing decisions alone (JMH measurements, and checksums of their actions), the attribution of
 * regressions on generated release days, and a front node compared with a minimal relay. Not used by a running node.
 */
@NullMarked
package laurelkeel.bench;

import org.jspecify.annotations.NullMarked;
