/** Parsing of text that peers and operators write. Depends on no other package. */
@NullMarked
package laurelkeel.text;

import org.jspecify.annotations.NullMarked;
