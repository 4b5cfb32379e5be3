/** The settings by the bench's names, path=value, read once for its wire and for configuration files. */
package laurelkeel.options;
