/**
 * Records of what was seen on sockets and of what nodes learned from their control plane, stored as JSON lines: the
 * input of {@code laurelkeel.audit}.
 */
@NullMarked
package laurelkeel.records;

import org.jspecify.annotations.NullMarked;
