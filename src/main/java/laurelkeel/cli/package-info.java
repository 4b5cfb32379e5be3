/**
 * The command-line interface: one class per command, which parses the options, calls the package that does the work,
 * and converts the result to output and an exit code.
 */
@NullMarked
package laurelkeel.cli;

import org.jspecify.annotations.NullMarked;
