/** Connections from clients: HTTP/1.1 requests in, named by route, tenant and partition key, and final responses out. */
@NullMarked
package laurelkeel.front.ingress;

import org.jspecify.annotations.NullMarked;
