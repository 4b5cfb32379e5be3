/**
 * Communication of a front node with its control plane: the endpoint list, the state of rollouts, votes and reports over
 * HTTP, and gossip with other nodes. Messages are translated here, and only here, into the terms of {@link laurelkeel.api}.
 */
@NullMarked
package laurelkeel.front.controlplane;

import org.jspecify.annotations.NullMarked;
