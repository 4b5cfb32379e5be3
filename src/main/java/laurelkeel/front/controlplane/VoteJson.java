package laurelkeel.front.controlplane;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The JSON form of a vote. */
record Ballot(@JsonProperty("front") int nodeIndex, int build, int stage, String verdict) {}
