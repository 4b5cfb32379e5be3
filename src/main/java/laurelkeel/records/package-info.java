/**
 * Records of the traffic observed on sockets and of the updates that nodes received from their control plane, stored as
 * JSON lines. They are the input of {@code laurelkeel.audit}.
 */
@NullMarked
package laurelkeel.records;

import org.jspecify.annotations.NullMarked;
