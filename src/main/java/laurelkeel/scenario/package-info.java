/**
 * Scripted scenarios: node processes within a test bed, faults on a schedule, and an audit of the records at the end.
 */
@NullMarked
package laurelkeel.scenario;

import org.jspecify.annotations.NullMarked;
