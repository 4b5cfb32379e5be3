package laurelkeel.front.controlplane;

import com.fasterxml.jackson.annotation.JsonProperty;

/** JSON form of a vote. */
record VoteJson(@JsonProperty("front") int nodeIndex, int build, int stage, String verdict) {}
