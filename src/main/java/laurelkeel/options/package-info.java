/**
 * The settings by the platform's option names: pairs of a path and a value, the same from the simulator's wire and from
 * configuration files.
 *
 * <p>All names of options and of their values stand in {@link laurelkeel.options.OptionsParser}.
 */
@NullMarked
package laurelkeel.options;

import org.jspecify.annotations.NullMarked;
