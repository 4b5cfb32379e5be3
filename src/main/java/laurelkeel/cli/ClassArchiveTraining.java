package laurelkeel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.front.FrontNode;
import laurelkeel.platform.InvalidConfigurationException;
import laurelkeel.platform.NodeConfiguration;
import laurelkeel.platform.PlatformNode;

/**
 * Runs a front node with stub services on loopback through a few hundred requests, a reload and a drain. The build uses
 * this run to record the classes for the class data sharing archive (deploy/prepare.sh). With the archive, a node that
 * starts on half a core is ready far sooner.
 */
final class ClassArchiveTraining {
    private static final int REQUESTS = 400;
    /** Parameters: the addresses of discovery and of the control service, and the node's initial endpoint list. */
    private static final String CONFIGURATION =
            """
            {"name":"rehearsal","listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":256},
             "rollouts":{"address":"%s","news":{"build":1,"stage":0,"phase":"Healthy","cap":1.0,"age_ms":9000}},
             "known":%s,"settings":{"selfIndex":0,"balancers":1,"zone":0,"zones":["a"],"kinds":["m"],
             "services":[{"name":"get","effect":"safe","onTime":500.0,"deadline":2000.0,"points":1.0},
              {"name":"put","effect":"keyed","dedupScope":"all","onTime":500.0,"deadline":2000.0,"points":1.0,
               "repeatWindow":2000.0}],"orgs":[{"name":"one","quotaRps":100.0}],
             "allowed":{"maxAttempts":4,"cancel":true,"retryAfter":true,"maxRetryAfter":500.0,"idleClose":15000.0},
             "rules":{"drainGrace":1000.0,"cold":4000.0,"coldFrom":0.4,"tipAfter":3000.0,"tipMultiple":2.5},
             "familyInfo":{"gateMode":"by_count","votesToGo":1,"noesNeeded":1,"stageCap":[0.5,1.0],
              "callTimeout":800.0,"voteTtl":6000.0,"votesPerS":100.0,"countedOver":4000.0,"uncounted":3.0}}}""";

    private ClassArchiveTraining() {}

    /**
     * Runs the node once, until it has drained.
     *
     * @return the process's exit code: 0 if the node served all requests
     * @throws Exception if the node cannot be started or one of its connections fails
     */
    static int run() throws Exception {
        NodeConfiguration configuration = configuration(TrainingServices.start());
        PlatformNode node = PlatformNode.create(configuration, RoutingDecider::new);
        FrontNode front = node.frontNode();
        int port = front.start().getPort();
        int served = sendRequests(port);
        node.reconfigure(configuration);
        front.drain();
        front.termination().get();
        System.err.println("class archive training: " + served + " of " + REQUESTS + " requests served");
        return served == REQUESTS ? 0 : Cli.FAILED;
    }

    private static NodeConfiguration configuration(TrainingServices services)
            throws JsonProcessingException, InvalidConfigurationException {
        String text = CONFIGURATION.formatted(
                services.discoveryAddress(), services.controlServiceAddress(), services.knownEndpoints());
        return NodeConfiguration.of(new ObjectMapper().readTree(text), Map.of());
    }

    /** Sends requests until one is not served, and returns the number of served requests. */
    private static int sendRequests(int port) throws IOException {
        try (TrainingClient client = new TrainingClient(port)) {
            int served = 0;
            while (served < REQUESTS && client.sendRequest(served)) {
                served++;
            }
            return served;
        }
    }
}
