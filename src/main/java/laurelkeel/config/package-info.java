/** Reads settings from INI files and names every error with its line and its remedy. */
@NullMarked
package laurelkeel.config;

import org.jspecify.annotations.NullMarked;
