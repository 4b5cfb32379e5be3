/**
 * The command line: one class a command, which reads the options, calls the package that does the work, and turns its
 * result into printed lines and an exit code.
 */
@NullMarked
package laurelkeel.cli;

import org.jspecify.annotations.NullMarked;
