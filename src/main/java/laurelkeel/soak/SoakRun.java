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
 * One run: real nodes between faulty servers and clients, with the signals, crowds, faults and steps of the clock that a
 * seed draws. Clients go on using open connections up to SIGKILL, which comes at the earliest moment that the platform's
 * page allows.
 */
public final class SoakRun {
    private static final int CLIENTS = 12;
    private static final long CLIENT_END_MILLIS = 5_000;

    private final SoakPlan plan;
    /** Draws come in a fixed order, so that a seed gives the same run. */
    private final Random random;

    private final RunMonitor monitor = RunMonitor.create();
    private final RunState state = new RunState();
    private final AttemptAuditor auditor = new AttemptAuditor(monitor);
    private final ControlPlane controlPlane = new ControlPlane(monitor, state, auditor);
    private final FaultyEndpoints endpoints = new FaultyEndpoints(monitor, auditor, controlPlane);
    private final NodeController nodes;

    private SoakRun(SoakPlan plan, NodeImage image, Path folder, Map<String, String> environment) {
        this.plan = plan;
        this.random = new Random(plan.seed());
        this.nodes = new NodeController(plan, image, folder, environment, monitor, controlPlane);
    }

    /**
     * Plays one run.
     *
     * @param faultLibrary lets calls fail and clocks step; without it both are left out
     * @param folder for configurations and logs of this run
     * @throws IOException where the servers or the nodes cannot be started
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
        new EventPlayer(monitor, state, nodes, controlPlane, endpoints).play(plan.events());
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
        ResponseJudge judge = new ResponseJudge(monitor, state, plan.breaksReads());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            SoakClient client = new SoakClient("c" + i, random.nextLong(), nodes, monitor, state, auditor, judge);
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
