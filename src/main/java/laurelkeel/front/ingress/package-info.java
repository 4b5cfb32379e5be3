/** Client connections: reads HTTP/1.1 requests, determines their route, tenant and partition key, and writes responses. */
@NullMarked
package laurelkeel.front.ingress;

import org.jspecify.annotations.NullMarked;
