/**
 * Parsing of settings from the platform's options. Options are pairs of a path and a value; the simulator's protocol and
 * the configuration files use the same ones.
 *
 * <p>All names of options and of their values are defined in {@link laurelkeel.options.OptionsParser}, except the
 * {@code count} and {@code name} of lists, which {@code OptionReader} reads.
 */
@NullMarked
package laurelkeel.options;

import org.jspecify.annotations.NullMarked;
