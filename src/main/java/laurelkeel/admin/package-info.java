/** An HTTP server for operators with health and metrics, and the resource usage of the process. */
@NullMarked
package laurelkeel.admin;

import org.jspecify.annotations.NullMarked;
