/**
 * Scripted scenarios: node processes in a test bed, scheduled faults, and an audit of the records at the end.
 */
@NullMarked
package laurelkeel.scenario;

import org.jspecify.annotations.NullMarked;
