/** A single-threaded event loop with scheduled tasks, and the threads that run beside it. */
@NullMarked
package laurelkeel.eventloop;

import org.jspecify.annotations.NullMarked;
