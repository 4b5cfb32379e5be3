/** Shannon's platform behind the front's seams: configuration, words, discovery, release desk. It decides nothing. */
package laurelkeel.platform;
