/**
 * HTTP/1.1 messages on Apache MINA's filter chain: an incremental parser with limits, a writer, and the codec filter that joins
 * them. It knows the form of messages, not what they mean.
 */
@NullMarked
package laurelkeel.wire;

import org.jspecify.annotations.NullMarked;
