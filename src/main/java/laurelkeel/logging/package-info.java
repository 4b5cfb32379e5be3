/** Log output that never blocks the logging threads. */
@NullMarked
package laurelkeel.logging;

import org.jspecify.annotations.NullMarked;
