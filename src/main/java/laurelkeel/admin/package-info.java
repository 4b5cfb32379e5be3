/** A small HTTP server for operators: health, metrics, and what the process has used. */
@NullMarked
package laurelkeel.admin;

import org.jspecify.annotations.NullMarked;
