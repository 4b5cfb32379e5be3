/**
 * Audits the five traffic rules from records only. The package uses no code of the front node, so that a fault in that
 * code cannot hide a violation.
 */
@NullMarked
package laurelkeel.audit;

import org.jspecify.annotations.NullMarked;
