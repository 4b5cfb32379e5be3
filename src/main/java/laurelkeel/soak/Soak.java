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
    private static final int NODES = 3, SERVERS = 6, CLIENTS = 12;
    private static final int MEMORY_MB = 192;
    static final int DESCRIPTORS = 256;
    private static final double GRACE_SECONDS = 1;
    /** Whatever happened to a watch, what discovery has to tell counts as told after this (seconds). */
    private static final double TOLD_SECONDS = 6;
    /** The old addresses close their open connections so long after SIGHUP. */
    private static final long OLD_ADDRESS_MS = 1_500;
    private static final int CROWD = 500;

    private static final String SETTINGS = """
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

    /** What may happen at one moment of a run. */
    private enum Event {
        RESTART, KILL, TERM_AT_START, NEW_CONFIGURATIONS, NEW_CONFIGURATION_AND_RESTART, DISCOVERY_SILENT, DISCOVERY_SPOILT,
        SERVER_DRAINS, SERVER_HANGS, CROWD
    }

    /** Linux's numbers of errors that may come for a moment, by call. */
    private static final Map<String, int[]> ERRORS = Map.of("accept", new int[] {103, 23, 105}, "socket", new int[] {23, 105},
            "connect", new int[] {99, 101, 105}, "wait", new int[] {4}, "read", new int[] {0, 110, 113}, "write", new int[] {0});
    /** A read that fails breaks a connection under its requests, which is no fault of a node: rarely, then. */
    private static final Map<String, Integer> PERCENT = Map.of("accept", 40, "socket", 30, "connect", 30, "wait", 20, "read", 5,
            "write", 20);

    /** One event, and what draws its details. */
    private record Planned(double at, Event event, int node, long draws) { }

    /** What a run found. */
    public record Result(long seed, List<String> broken, String counts, String drawn) { }

    private final long seed;
    private final int seconds;
    private final Random random;
    private final NodeImage image;
    private final Path folder;
    private final Optional<Path> faults;
    private final Violations violations = new Violations();
    private final Ledger ledger = new Ledger(violations);
    private final DiscoveryServer.Directory directory = new DiscoveryServer.Directory();
    private final List<Backend> servers = new ArrayList<>();
    private final List<String> draining = new CopyOnWriteArrayList<>();
    private final NodeLife[] nodes = new NodeLife[NODES];
    private final int[] ports = new int[NODES];
    private final List<TcpServer> opened = new CopyOnWriteArrayList<>();
    private final DiscoveryServer[] discovery = new DiscoveryServer[NODES];
    private final ControlServer[] control = new ControlServer[NODES];
    private final List<String> drawn = new ArrayList<>();
    private final List<Planned> plan = new ArrayList<>();
    private final AtomicInteger configurations = new AtomicInteger();
    private final Map<String, String> environment = new HashMap<>();
    private volatile boolean ends, crowded, disturbed, breaksReads;

    private Soak(long seed, int seconds, NodeImage image, Path folder, Optional<Path> faults) {
        this.seed = seed;
        this.seconds = seconds;
        this.random = new Random(seed);
        this.image = image;
        this.folder = folder;
        this.faults = faults;
    }

    /**
     * Plays one seed.
     *
     * @param seconds how long events come; the end takes some seconds more
     * @param folder for configurations and logs of this run
     */
    public static Result run(long seed, int seconds, NodeImage image, Path folder) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Optional<Path> faults = FaultLibrary.build(folder);
        Soak soak = new Soak(seed, seconds, image, folder, faults);
        try {
            return soak.play();
        } finally {
            soak.close();
        }
    }

    private Result play() throws IOException, InterruptedException {
        drawFaults();
        drawEvents();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(start(new Backend("s-" + i, ledger, random.nextLong(), random.nextInt(3) * 0.05)));
        }
        publish();
        for (int i = 0; i < NODES; i++) {
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
        TcpServer.daemon("watch", this::watchProcesses);
        Thread lateness = TcpServer.daemon("lateness", violations::measureLateness);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(TcpServer.daemon("client", new SoakClient("c" + i, random.nextLong(), violations, ledger, this::admitted,
                    () -> crowded, () -> breaksReads, () -> ends)));
        }
        playEvents();
        ends = true;
        endNodes();
        for (Thread client : clients) {
            client.join(5_000);
        }
        lateness.interrupt();
        StringBuilder counts = new StringBuilder(String.format("host late by %.0f ms at most", violations.worstLateness() * 1000));
        violations.counts().forEach((what, count) -> counts.append(counts.isEmpty() ? "" : ", ").append(what).append(' ').append(count));
        return new Result(seed, violations.found(), counts.toString(), String.join(", ", drawn));
    }

    /** All is drawn ahead, so that a seed gives the same run however its threads take turns. */
    private void drawEvents() {
        double at = 0.5;
        while (at < seconds) {
            Event event = Event.values()[random.nextInt(Event.values().length)];
            Planned next = new Planned(at, event, random.nextInt(NODES), random.nextLong());
            plan.add(next);
            drawn.add(String.format("%.1f %s n%d", next.at, event, next.node));
            at += 0.2 + random.nextDouble() * 2;
        }
    }

    /** Some runs have clocks that step, some have system calls that fail, some have neither. */
    private void drawFaults() {
        if (faults.isEmpty()) {
            drawn.add("no C compiler: no failing calls, no steps of the clock");
            return;
        }
        if (random.nextInt(3) == 0) {
            long[] offsets = {3_600_000, -3_600_000, 5_000, -5_000};
            String steps = (500 + random.nextInt(seconds * 500)) + ":" + offsets[random.nextInt(4)] + ","
                    + (seconds * 500 + random.nextInt(seconds * 500)) + ":" + offsets[random.nextInt(4)];
            environment.put("SOAK_STEPS", steps);
            drawn.add("clock " + steps);
        }
        if (random.nextInt(3) == 0) {
            List<String> calls = ERRORS.keySet().stream().sorted().toList();
            String call = calls.get(random.nextInt(calls.size()));
            int[] errors = ERRORS.get(call);
            int error = errors[random.nextInt(errors.length)];
            breaksReads = call.equals("read") && error != 0;
            String fault = call + ":" + error + ":" + (1_000 + random.nextInt(2_000)) + ":" + (500 + random.nextInt(3_000)) + ":"
                    + PERCENT.get(call);
            environment.put("SOAK_FAULTS", fault);
            drawn.add("calls " + fault);
        }
        if (!environment.isEmpty()) {
            environment.put("LD_PRELOAD", faults.get().toString());
        }
    }

    private <T extends TcpServer> T start(T server) {
        server.start();
        opened.add(server);
        return server;
    }

    private static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0)) {
            return probe.getLocalPort();
        }
    }

    private NodeLife admitted(Random of) {
        NodeLife node = nodes[of.nextInt(NODES)];
        boolean open = node != null && node.admitted && violations.seconds() < node.terminatedAt + ADMITTED_AFTER_TERM
                && !node.wasKilled();
        return open ? node : null;
    }

    // ---- nodes

    private void writeConfig(int i) throws IOException {
        String config = "{\"name\":\"n" + i + "\",\"listen\":\"127.0.0.1:" + ports[i] + "\",\"discovery\":\"" + discovery[i].address()
                + "\",\"seed\":\"" + Long.toHexString(seed << 16 | configurations.incrementAndGet()) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + MEMORY_MB
                + ",\"sockets\":" + DESCRIPTORS + "},\"rollouts\":{\"address\":\"" + control[i].address()
                + "\",\"news\":{\"build\":" + ControlServer.TRIAL_BUILD
                + ",\"stage\":1,\"phase\":\"Progressing\",\"cap\":0.5,\"age_ms\":9000}},\"known\":" + directory.list()
                + ",\"settings\":" + SETTINGS.formatted(i) + "}";
        Path aside = folder.resolve("n" + i + ".json.new");
        Files.writeString(aside, config);
        Files.move(aside, config(i), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private Path config(int i) {
        return folder.resolve("n" + i + ".json");
    }

    private NodeLife launch(int i) throws IOException {
        writeConfig(i);
        NodeLife life = new NodeLife("n" + i, ports[i],
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

    private static boolean ready(int port) {
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
        while (!ends) {
            Thread.sleep(100);
            for (NodeLife life : nodes) {
                if (life == null || life.endAsked) {
                    continue;
                }
                if (!life.process.isAlive() && !life.endAsked) {
                    life.endAsked = true;
                    violations.add("exit", life.name + " ended by itself at an age of " + life.process.age() + " ms");
                }
                if (life.process.peakMemory() > MEMORY_MB) {
                    violations.add("memory", life.name + " took " + life.process.peakMemory() + " MB");
                }
                if (life.process.descriptors() >= DESCRIPTORS) {
                    violations.count("times at the limit of descriptors");
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
        for (Planned each : plan) {
            while (violations.seconds() < begun + each.at) {
                Thread.sleep(5);
            }
            running.add(TcpServer.daemon("event", () -> happen(each.event, each.node, new Random(each.draws))));
        }
        for (Thread thread : running) {
            thread.join();
        }
    }

    private void happen(Event event, int i, Random draws) throws IOException, InterruptedException {
        switch (event) {
            case DISCOVERY_SILENT -> silence(i, 500 + draws.nextInt(2_500));
            case DISCOVERY_SPOILT -> {
                disturbed = true;
                directory.spoil();
            }
            case SERVER_DRAINS -> drainServer(draws);
            case SERVER_HANGS -> servers.get(draws.nextInt(SERVERS)).hang();
            case CROWD -> crowd(i);
            default -> {
                synchronized (ports) {
                    toNode(event, i, draws);
                }
            }
        }
    }

    private void toNode(Event event, int i, Random draws) throws IOException, InterruptedException {
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
            discovery[i] = start(new DiscoveryServer(directory));
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

    private void publish() {
        StringBuilder entries = new StringBuilder();
        for (Backend server : servers) {
            entries.append(entries.isEmpty() ? "" : ",").append("{\"id\":\"").append(server.id).append("\",\"addr\":\"")
                    .append(server.address()).append("\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\"")
                    .append(draining.contains(server.id) ? "leaving" : "active")
                    .append("\",\"weight\":1.0,\"started_ms\":0,\"revision_no\":")
                    .append(ControlServer.TRIAL_BUILD - 1 + servers.indexOf(server) % 2).append('}');
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
