/** A single-threaded event loop with scheduled tasks, and executors whose failures end the loop. */
@NullMarked
package laurelkeel.eventloop;

import org.jspecify.annotations.NullMarked;
