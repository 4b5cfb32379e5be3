/**
 * Audits the five rules of traffic from records alone. It uses nothing of the front node, so that a fault of the node
 * cannot hide itself here.
 */
@NullMarked
package laurelkeel.audit;

import org.jspecify.annotations.NullMarked;
