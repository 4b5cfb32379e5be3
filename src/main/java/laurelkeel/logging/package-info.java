/** Log output that never delays the threads that log. */
@NullMarked
package laurelkeel.logging;

import org.jspecify.annotations.NullMarked;
