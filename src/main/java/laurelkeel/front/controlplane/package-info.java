/**
 * What a front node exchanges with its control plane: the endpoint list, the rollout's state, votes and reports over
 * HTTP, and gossip with other nodes. Messages are parsed once, here, into the terms of {@link laurelkeel.api}.
 */
@NullMarked
package laurelkeel.front.controlplane;

import org.jspecify.annotations.NullMarked;
