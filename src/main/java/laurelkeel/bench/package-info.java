/**
 * Measurements: the decisions alone (JMH, and checksums of what they do), the attribution on generated days, and a front
 * node beside a bare relay. No part of a running node.
 */
@NullMarked
package laurelkeel.bench;

import org.jspecify.annotations.NullMarked;
