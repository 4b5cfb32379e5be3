/**
 * HTTP/1.1 messages for Apache MINA's filter chain: an incremental parser with limits, a writer, and the codec filter that
 * combines them. The package handles only the syntax and framing of messages, not the meaning of their headers and bodies.
 */
@NullMarked
package laurelkeel.wire;

import org.jspecify.annotations.NullMarked;
