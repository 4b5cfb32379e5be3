package laurelkeel.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One run: real nodes between stand-ins, with the signals, crowds, faults and steps of the clock that a seed draws. Clients
 * go on using open connections up to the kill, which comes at the earliest moment that the platform's page allows.
 */
public final class Soak {
    /** SIGKILL comes no sooner after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s. */
    private static final long KILL_AFTER_MS = 3_700;
    /** New connections come for so long after SIGTERM (seconds). */
    private static final double ADMITTED_AFTER_TERM = 0.3;

    private static final double READY_SECONDS = 10;
    private static final int SERVERS = 6, CLIENTS = 12;
    private static final int MEMORY_MB = 192;
    static final int DESCRIPTORS = 256;
    private static final double GRACE_SECONDS = 1;
    /** Whatever happened to a watch, what discovery has to tell counts as told after this (seconds). */
    private static final double TOLD_SECONDS = 6;
    /** The old addresses close their open connections so long after SIGHUP. */
    private static final long OLD_ADDRESS_MS = 1_500;

    private static final int CROWD = 500;
    /** The longest that a node is held up between two of its steps. */
    private static final int HELD_UP_MS = 150;
    /** Descriptors that no crowd may take. */
    private static final int LEAST_LEFT = 8;
    /** Discovery is down for half of this to one and a half times it. */
    private static final int DOWN_MS = 5_000;

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

    /**
     * What a run found.
     *
     * @param broken each break of a rule, with its moment
     * @param counts what was seen, for a reader
     * @param plan what happened
     */
    public record Result(SoakPlan plan, List<String> broken, String counts) {}

    private final SoakPlan plan;
    private final Random random;
    private final NodeImage image;
    private final Path folder;
    private final Violations violations = new Violations();
    private final Ledger ledger = new Ledger(violations);
    private final DiscoveryServer.Directory directory = new DiscoveryServer.Directory();
    private final List<Backend> servers = new ArrayList<>();
    private final List<String> draining = new CopyOnWriteArrayList<>();
    private final NodeLife[] nodes = new NodeLife[SoakPlan.NODES];
    private final int[] ports = new int[SoakPlan.NODES];
    private final List<TcpServer> opened = new CopyOnWriteArrayList<>();
    private final DiscoveryServer[] discovery = new DiscoveryServer[SoakPlan.NODES];
    private final ControlServer[] control = new ControlServer[SoakPlan.NODES];
    private final AtomicInteger configurations = new AtomicInteger();
    private final Map<String, String> environment = new HashMap<>();
    private volatile boolean ends, crowded, disturbed;

    private Soak(SoakPlan plan, NodeImage image, Path folder, Optional<Path> faults) {
        this.plan = plan;
        this.random = new Random(plan.seed());
        this.image = image;
        this.folder = folder;
        faults.ifPresent(this::preload);
    }

    /**
     * Plays one run.
     *
     * @param faults the library that lets calls fail and clocks step; without it both are left out
     * @param folder for configurations and logs of this run
     */
    public static Result run(SoakPlan plan, NodeImage image, Optional<Path> faults, Path folder)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Soak soak = new Soak(plan, image, folder, faults);
        try {
            return soak.play();
        } finally {
            soak.close();
        }
    }

    private void preload(Path faults) {
        if (!plan.clockSteps().isEmpty()) {
            environment.put("SOAK_STEPS", plan.clockSteps());
        }
        if (!plan.callFaults().isEmpty()) {
            environment.put("SOAK_FAULTS", plan.callFaults());
        }
        if (!environment.isEmpty()) {
            environment.put("LD_PRELOAD", faults.toString());
        }
    }

    private Result play() throws IOException, InterruptedException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(start(new Backend("s-" + i, ledger, random.nextLong(), random.nextInt(3) * 0.05)));
        }
        publish();
        for (int i = 0; i < SoakPlan.NODES; i++) {
            ports[i] = freePort();
            discovery[i] = start(new DiscoveryServer(directory));
            control[i] = start(new ControlServer(violations, random.nextLong(), 0.05));
            startNode(i);
        }
        TcpServer.daemon("beat", () -> {
            while (!ends) {
                Thread.sleep(2_000);
                directory.beat();
            }
        });
        Thread watch = TcpServer.daemon("watch", this::watchProcesses);
        Thread lateness = TcpServer.daemon("lateness", violations::measureLateness);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(TcpServer.daemon(
                    "client",
                    new SoakClient(
                            "c" + i,
                            random.nextLong(),
                            violations,
                            ledger,
                            this::admitted,
                            () -> crowded,
                            plan::breaksReads,
                            () -> ends)));
        }
        playEvents();
        ends = true;
        endNodes();
        for (Thread client : clients) {
            client.join(5_000);
        }
        lateness.interrupt();
        watch.interrupt();
        StringBuilder counts =
                new StringBuilder(String.format("host late by %.0f ms at most", violations.worstLateness() * 1000));
        violations.counts().forEach((what, count) -> counts.append(counts.isEmpty() ? "" : ", ")
                .append(what)
                .append(' ')
                .append(count));
        return new Result(plan, violations.found(), counts.toString());
    }

    private <T extends TcpServer> T start(T server) {
        server.start();
        opened.add(server);
        return server;
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0)) {
            return probe.getLocalPort();
        }
    }

    private NodeLife admitted(Random of) {
        NodeLife node = nodes[of.nextInt(SoakPlan.NODES)];
        boolean open = node != null
                && node.admitted
                && violations.seconds() < node.terminatedAt + ADMITTED_AFTER_TERM
                && !node.wasKilled();
        return open ? node : null;
    }

    // ---- nodes

    /** What the platform hands a node. */
    static String configuration(
            String name,
            int index,
            int port,
            String discovery,
            String seed,
            int memoryMb,
            int descriptors,
            String control,
            String known) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"" + seed + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + descriptors + "},\"rollouts\":{\"address\":\"" + control
                + "\",\"news\":{\"build\":" + ControlServer.TRIAL_BUILD
                + ",\"stage\":1,\"phase\":\"Progressing\",\"cap\":0.5,\"age_ms\":9000}},\"known\":" + known
                + ",\"settings\":" + SETTINGS.formatted(index) + "}";
    }

    private void writeConfig(int i) throws IOException {
        String nodeSeed = Long.toHexString(plan.seed() << 16 | configurations.incrementAndGet());
        String config = configuration(
                "n" + i,
                i,
                ports[i],
                discovery[i].address(),
                nodeSeed,
                MEMORY_MB,
                DESCRIPTORS,
                control[i].address(),
                directory.list());
        Path aside = folder.resolve("n" + i + ".json.new");
        Files.writeString(aside, config);
        Files.move(aside, config(i), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private Path config(int i) {
        return folder.resolve("n" + i + ".json");
    }

    private NodeLife launch(int i) throws IOException {
        writeConfig(i);
        NodeLife life = new NodeLife(
                "n" + i,
                ports[i],
                NodeProcess.start(image, config(i), folder.resolve("n" + i + ".log"), environment, DESCRIPTORS));
        nodes[i] = life;
        return life;
    }

    private void startNode(int i) throws IOException, InterruptedException {
        NodeLife life = launch(i);
        double end = violations.seconds() + READY_SECONDS;
        while (!life.endAsked && life.process.isAlive() && !ready(life.port)) {
            if (violations.seconds() > end) {
                violations.add("start", life.name + " is not ready after " + READY_SECONDS + " s");
                return;
            }
            Thread.sleep(20);
        }
        life.admitted = true;
    }

    static boolean ready(int port) {
        try (Socket probe = new Socket()) {
            probe.connect(new InetSocketAddress("127.0.0.1", port), 500);
            probe.setSoTimeout(500);
            TcpServer.write(probe, "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            String first = TcpServer.line(probe.getInputStream());
            return first != null && first.startsWith("HTTP/1.1 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    private void kill(NodeLife life) throws InterruptedException {
        life.endAsked = true;
        life.killedAt = violations.seconds();
        life.process.kill();
    }

    /** A series of SIGTERMs, then the kill at its earliest where it has not ended. */
    private void terminate(NodeLife life, int signals, int apartMs) throws IOException, InterruptedException {
        life.endAsked = true;
        life.terminatedAt = violations.seconds();
        for (int i = 0; i < signals; i++) {
            life.process.signal("TERM");
            Thread.sleep(apartMs);
        }
        Integer status = life.process.awaitEnd(Math.max(1, KILL_AFTER_MS - (long) signals * apartMs));
        if (status == null) {
            violations.count("killed after SIGTERM");
            kill(life);
        } else if (status != 0 && life.admitted) {
            violations.add("exit", life.name + " ended with status " + status + " after SIGTERM");
        }
    }

    /** Ends that nobody asked for, memory and descriptors. */
    private void watchProcesses() throws InterruptedException {
        while (true) {
            Thread.sleep(100);
            for (NodeLife life : nodes) {
                if (life == null) {
                    continue;
                }
                violations.late(life.starved());
                if (life.endAsked) {
                    continue;
                }
                if (!life.process.isAlive() && !life.endAsked) {
                    life.endAsked = true;
                    violations.add("exit", life.name + " ended by itself at an age of " + life.process.age() + " ms");
                }
                if (life.process.peakMemory() > MEMORY_MB) {
                    violations.add("memory", life.name + " took " + life.process.peakMemory() + " MB");
                }
                int descriptors = life.process.descriptors();
                if (descriptors > DESCRIPTORS - LEAST_LEFT) {
                    violations.add("descriptors", life.name + " held " + descriptors + " of " + DESCRIPTORS);
                }
            }
        }
    }

    private void endNodes() throws IOException, InterruptedException {
        List<Thread> ending = new ArrayList<>();
        for (NodeLife life : nodes) {
            if (life.process.isAlive()) {
                ending.add(TcpServer.daemon("end", () -> terminate(life, 1, 0)));
            }
        }
        for (Thread thread : ending) {
            thread.join();
        }
    }

    // ---- events

    private void playEvents() throws IOException, InterruptedException {
        List<Thread> running = new ArrayList<>();
        double begun = violations.seconds();
        for (SoakPlan.Planned each : plan.events()) {
            while (violations.seconds() < begun + each.at()) {
                Thread.sleep(5);
            }
            running.add(TcpServer.daemon("event", () -> happen(each.event(), each.node(), new Random(each.draws()))));
        }
        for (Thread thread : running) {
            thread.join();
        }
    }

    private void happen(SoakPlan.Event event, int i, Random draws) throws IOException, InterruptedException {
        switch (event) {
            case DISCOVERY_SILENT -> silence(i, 500 + draws.nextInt(2_500));
            case DISCOVERY_DOWN -> takeDown(i, DOWN_MS / 2 + draws.nextInt(DOWN_MS));
            case DISCOVERY_SPOILT -> {
                disturbed = true;
                directory.spoil();
            }
            case SERVER_DRAINS -> drainServer(draws);
            case SERVER_HANGS -> servers.get(draws.nextInt(SERVERS)).hang();
            case CROWD -> crowd(i);
            case HELD_UP -> holdUp(nodes[i].process, 1 + draws.nextInt(5), draws);
            default -> {
                synchronized (ports) {
                    toNode(event, i, draws);
                }
            }
        }
    }

    private void toNode(SoakPlan.Event event, int i, Random draws) throws IOException, InterruptedException {
        NodeLife life = nodes[i];
        if (!life.process.isAlive()) {
            return;
        }
        switch (event) {
            case RESTART -> terminate(life, 1 + draws.nextInt(3), draws.nextInt(50));
            case KILL -> kill(life);
            case TERM_AT_START -> {
                kill(life);
                NodeLife young = launch(i);
                Thread.sleep(draws.nextInt(700));
                terminate(young, 1 + draws.nextInt(2), draws.nextInt(30));
            }
            case NEW_CONFIGURATIONS -> {
                newConfigurations(i, life, draws);
                return;
            }
            case NEW_CONFIGURATION_WHILE_DRAINING -> {
                Thread follows = TcpServer.daemon("configuration", () -> {
                    Thread.sleep(draws.nextInt(800));
                    newConfigurations(i, life, draws);
                });
                terminate(life, 1, 0);
                follows.join();
            }
            default -> {
                newConfigurations(i, life, draws);
                terminate(life, 1, 0);
            }
        }
        startNode(i);
    }

    /** A series of configurations, each with other addresses, and a SIGHUP after each. */
    private void newConfigurations(int i, NodeLife life, Random draws) throws IOException, InterruptedException {
        disturbed = true;
        for (int n = 1 + draws.nextInt(4); n > 0; n--) {
            TcpServer oldDiscovery = discovery[i];
            TcpServer oldControl = control[i];
            synchronized (discovery) {
                discovery[i] = start(new DiscoveryServer(directory));
            }
            control[i] = start(new ControlServer(violations, draws.nextLong(), 0.05));
            writeConfig(i);
            oldDiscovery.stopListening();
            oldControl.stopListening();
            life.process.signal("HUP");
            TcpServer.daemon("old address", () -> {
                Thread.sleep(OLD_ADDRESS_MS);
                oldDiscovery.close();
                oldControl.close();
            });
            Thread.sleep(draws.nextInt(150));
        }
    }

    private void silence(int i, int milliseconds) throws IOException, InterruptedException {
        disturbed = true;
        DiscoveryServer quiet = discovery[i];
        quiet.silent(true);
        Thread.sleep(milliseconds);
        quiet.silent(false);
    }

    /** Nobody listens there; where it moves meanwhile, the new address is up. */
    private void takeDown(int i, int milliseconds) throws IOException, InterruptedException {
        disturbed = true;
        ledger.outageBegins();
        try {
            DiscoveryServer down = discovery[i];
            InetSocketAddress at = down.at();
            down.stopListening();
            down.closeConnections();
            Thread.sleep(milliseconds);
            synchronized (discovery) {
                if (discovery[i] == down) {
                    discovery[i] = start(new DiscoveryServer(directory, at));
                }
            }
        } finally {
            ledger.outageEnds(violations.seconds() + TOLD_SECONDS);
        }
    }

    private void publish() {
        StringBuilder entries = new StringBuilder();
        for (Backend server : servers) {
            ChangeFeed.State state = draining.contains(server.id) ? ChangeFeed.State.LEAVING : ChangeFeed.State.ACTIVE;
            int build = ControlServer.TRIAL_BUILD - 1 + servers.indexOf(server) % 2;
            entries.append(entries.isEmpty() ? "" : ",")
                    .append(new ChangeFeed.Entry(server.id, server.address(), state, 0, build).json());
        }
        directory.publish(entries.toString());
    }

    private synchronized void drainServer(Random draws) {
        Backend server = servers.get(draws.nextInt(SERVERS));
        if (draining.size() < 2 && !draining.contains(server.id)) {
            draining.add(server.id);
            publish();
            ledger.drained(server.id, violations.seconds() + GRACE_SECONDS + (disturbed ? TOLD_SECONDS : 0));
        }
    }

    /** A node may lose its core at any moment, also between reading its clock and writing. */
    private static void holdUp(NodeProcess process, int times, Random draws) throws IOException, InterruptedException {
        for (int n = 0; n < times; n++) {
            process.signal("STOP");
            try {
                Thread.sleep(HELD_UP_MS);
            } finally {
                process.signal("CONT");
            }
            Thread.sleep(HELD_UP_MS + draws.nextInt(500));
        }
    }

    /** Connections that say nothing, or stop in the middle of a request, far more than a node may hold. */
    private void crowd(int i) throws InterruptedException {
        crowded = true;
        List<Socket> crowd = new ArrayList<>();
        for (int n = 0; n < CROWD && !ends; n++) {
            try {
                Socket socket = new Socket();
                crowd.add(socket);
                socket.connect(new InetSocketAddress("127.0.0.1", ports[i]), 200);
                if (n % 3 == 0) {
                    TcpServer.write(socket, "GET /look HTTP/1.1\r\nHo");
                }
            } catch (IOException e) {
                violations.count("of a crowd turned away");
            }
        }
        Thread.sleep(2_000);
        for (Socket socket : crowd) {
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed either way
            }
        }
    }

    private void close() throws IOException, InterruptedException {
        ends = true;
        for (NodeLife life : nodes) {
            if (life != null) {
                life.process.kill();
            }
        }
        for (TcpServer server : opened) {
            server.close();
        }
    }
}
