package laurelkeel.soak;

/**
 * The configuration that the platform gives a node.
 *
 * @param index of the node among all nodes, from 0
 * @param port that the node listens on
 * @param seed of the node's random number generator, in hexadecimal digits
 * @param memoryMegabytes memory limit of the node
 * @param maxDescriptors limit of the node's open file descriptors
 * @param knownEndpoints the endpoint list, in the JSON format of the discovery protocol
 */
record SoakNodeConfiguration(
        int index,
        int port,
        String discoveryAddress,
        String controlAddress,
        String seed,
        int memoryMegabytes,
        int maxDescriptors,
        String knownEndpoints) {
    /** The settings of a node; the format argument is the index of the node. */
    private static final String SETTINGS =
            """
            {"selfIndex":%d,"balancers":3,"zone":0,"zones":["a"],"kinds":["m"],"membershipMode":"push",
             "services":[{"name":"look","effect":"safe","onTime":300.0,"deadline":2000.0,"points":2.0},
              {"name":"pay","effect":"keyed","dedupScope":"all","onTime":300.0,"deadline":2000.0,"points":1.0,
               "repeatWindow":3000.0}],
             "orgs":[{"name":"acme","quotaRps":1000.0}],
             "allowed":{"maxAttempts":3,"cancel":true,"retryAfter":true,"maxRetryAfter":500.0,"dialTimeout":500.0,
              "idleClose":15000.0,"maxOpen":2000},
             "rules":{"drainGrace":1000.0,"cold":4000.0,"coldFrom":0.4,"tipAfter":3000.0,"tipMultiple":2.5},
             "familyInfo":{"gateMode":"by_count","votesToGo":1,"noesNeeded":1,"stageCap":[0.1,0.5,1.0],"callTimeout":800.0,
              "voteTtl":6000.0,"votesPerS":100.0,"countedOver":4000.0,"uncounted":3.0}}""";

    /** Returns the name of the node with this index. */
    static String nameOf(int index) {
        return "n" + index;
    }

    /** Returns the configuration file's content in the platform's JSON format. */
    String json() {
        return "{\"name\":\"" + nameOf(index) + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                + discoveryAddress + "\",\"seed\":\"" + seed + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + memoryMegabytes + ",\"sockets\":" + maxDescriptors + "},\"rollouts\":{\"address\":\"" + controlAddress
                + "\",\"news\":{\"build\":" + ControlServer.CANARY_BUILD
                + ",\"stage\":1,\"phase\":\"Progressing\",\"cap\":0.5,\"age_ms\":9000}},\"known\":" + knownEndpoints
                + ",\"settings\":" + SETTINGS.formatted(index) + "}";
    }
}
