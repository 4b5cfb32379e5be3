/** Reading of settings from INI files; every error is reported with its line and its remedy. */
@NullMarked
package laurelkeel.config;

import org.jspecify.annotations.NullMarked;
