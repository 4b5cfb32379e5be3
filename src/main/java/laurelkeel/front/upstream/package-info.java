/** Connections to endpoints: pools of HTTP/1.1 connections that carry one exchange at a time and prove each outcome. */
@NullMarked
package laurelkeel.front.upstream;

import org.jspecify.annotations.NullMarked;
