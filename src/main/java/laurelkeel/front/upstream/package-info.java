/**
 * Pools of HTTP/1.1 connections to endpoints. A connection carries one exchange at a time, and the outcome of an exchange tells
 * reliably whether the endpoint may have executed the request.
 */
@NullMarked
package laurelkeel.front.upstream;

import org.jspecify.annotations.NullMarked;
