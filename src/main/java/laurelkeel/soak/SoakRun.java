package laurelkeel.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * One run: real nodes between faulty servers and clients, with the signals, connection floods, faults and clock steps of a
 * generated plan. Clients continue to use open connections until SIGKILL, which is sent at the earliest time that the
 * platform's documentation allows.
 */
public final class SoakRun {
    private static final int CLIENTS = 12;
    private static final long CLIENT_END_MILLIS = 5_000;

    private final SoakPlan plan;
    /** Values are drawn in a fixed order, so that a seed gives the same run. */
    private final Random random;

    private final RunMonitor monitor = RunMonitor.create();
    private final RunState state = new RunState();
    private final AttemptAuditor auditor = new AttemptAuditor(monitor, AttemptAuditor.Slack.OF_THE_RULES);
    private final ControlPlane controlPlane = new ControlPlane(monitor, state, auditor);
    private final FaultyEndpoints endpoints = new FaultyEndpoints(monitor, auditor, controlPlane);
    private final NodeController nodes;

    private SoakRun(SoakPlan plan, NodeImage image, Path folder, Map<String, String> environment) {
        this.plan = plan;
        this.random = new Random(plan.seed());
        this.nodes = new NodeController(plan, image, folder, environment, monitor, controlPlane);
    }

    /**
     * Executes one run.
     *
     * @param faultLibrary makes system calls fail and clocks step; if it is empty, the run has neither
     * @param folder for configurations and logs of this run
     * @throws IOException if the servers or the nodes cannot be started
     */
    public static SoakResult run(SoakPlan plan, NodeImage image, Optional<Path> faultLibrary, Path folder)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Map<String, String> environment = faultLibrary
                .map(library -> FaultLibrary.environment(library, plan))
                .orElse(Map.of());
        SoakRun run = new SoakRun(plan, image, folder, environment);
        try {
            return run.run();
        } finally {
            run.close();
        }
    }

    private SoakResult run() throws IOException, InterruptedException {
        endpoints.start(random);
        for (int i = 0; i < SoakPlan.NODES; i++) {
            nodes.choosePort(i);
            controlPlane.start(i, random.nextLong());
            nodes.start(i);
        }
        DaemonThreads.start("heartbeat", controlPlane::sendHeartbeats);
        Thread processWatch = DaemonThreads.start("watch", new ProcessWatch(nodes, monitor));
        Thread lateness = DaemonThreads.start("lateness", monitor.lateness()::measure);
        List<Thread> clients = startClients();
        new EventRunner(monitor, state, nodes, controlPlane, endpoints).run(plan.events());
        state.end();
        nodes.terminateAll();
        for (Thread client : clients) {
            client.join(CLIENT_END_MILLIS);
        }
        lateness.interrupt();
        processWatch.interrupt();
        return new SoakResult(
                plan,
                monitor.violations().violations(),
                monitor.lateness().worstSeconds(),
                monitor.violations().counts());
    }

    private List<Thread> startClients() {
        ResponseChecker responseChecker = new ResponseChecker(monitor, state, plan.breaksConnections());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            SoakClient client =
                    new SoakClient("c" + i, random.nextLong(), nodes, monitor, state, auditor, responseChecker);
            clients.add(DaemonThreads.start("client", client));
        }
        return clients;
    }

    private void close() throws IOException, InterruptedException {
        state.end();
        nodes.killAll();
        endpoints.close();
        controlPlane.close();
    }
}
