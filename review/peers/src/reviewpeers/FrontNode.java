package reviewpeers;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A front node: the process that the `run` line of deploy/balancer.toml starts, and its configuration. */
final class FrontNode {
    /**
     * Settings like those of a small deployment. lookup may be repeated; change carries a mark against repeats, which all
     * machines drop for 5 s.
     */
    private static final String SETTINGS = """
            {"selfIndex":0,"balancers":3,"zone":0,"zones":["dub-north","dub-west","cork-main"],"kinds":["std-1","slow-1"],
            "tier":0,"tiers":["flag-serve"],"kindOfService":"rollout","membershipMode":"push","valueBy":"request","weights":"rough",
            "resolution":5.0,"overShareWorth":0.05,"callers":{"marksRetry":false},
            "services":[
            {"name":"lookup","effect":"safe","dedupScope":"all","onTime":800.0,"deadline":2500.0,"points":2.0,"lateValue":0.0,
            "repeatWindow":5000.0,"stream":false},
            {"name":"snapshot","effect":"safe","dedupScope":"all","onTime":1200.0,"deadline":4000.0,"points":1.0,"lateValue":0.0,
            "repeatWindow":5000.0,"stream":false},
            {"name":"change","effect":"keyed","dedupScope":"all","onTime":2000.0,"deadline":8000.0,"points":3.0,"lateValue":0.2,
            "repeatWindow":5000.0,"stream":false}],
            "orgs":[{"name":"liffey-pay","quotaRps":340.0,"share":0.6},{"name":"corrib-bank","quotaRps":320.0,"share":0.4}],
            "allowed":{"cancel":true,"dialTimeout":250.0,"idleClose":15000.0,"maxAttempts":6,"maxOpen":20000,
            "maxRetryAfter":500.0,"mayProbe":true,"mayTell":false,"parallelTries":false,"retryAfter":true,"maxStreams":32},
            "rules":{"answerSlack":20.0,"askWithin":10000.0,"cold":4700.0,"coldFrom":0.38,"drainGrace":1000.0,"tipAfter":3000.0,
            "tipMultiple":2.5},
            "prices":{"crossZone":0.08,"waste":0.08,"probe":0.01,"lateFail":0.03},
            "loadReport":{"fields":["mean_ms","concurrent"],"how":"probe"},
            "familyInfo":{"autoAfter":0.0,"callTimeout":800.0,"capScope":"all","complaintShare":0.0,"countedOver":4000.0,
            "countedShare":0.4,"damagePrice":4.0,"gateMode":"by_count","guardedStages":0,"keysStay":true,"leastStage":1500.0,
            "noesNeeded":1,"push":4000.0,"replaceMode":"replace","rings":[0.1,0.35,1.0],"stageCap":[0.12,0.42,1.0],
            "staleBuildPrice":0.45,"tally":1000.0,"toPause":0,"uncounted":3.0,"voteTtl":6000.0,"votesPerS":120.0,"votesToGo":2,
            "warmKeys":true},
            "scoreParts":{"whole":0.5,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.2}}""";

    private final Path root;
    private final Path folder;
    private final Record record;
    private final int port;
    private String news = "";
    private String known = "";
    private volatile Process process;
    private volatile double startedAt;

    FrontNode(Path root, Path folder, Record record) throws IOException {
        this.root = root;
        this.folder = folder;
        this.record = record;
        try (ServerSocket free = new ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    int port() {
        return port;
    }

    /** Returns the time in the record at which the process was started. */
    double startedAt() {
        return startedAt;
    }

    /**
     * Starts the process.
     *
     * @param news state of the newest build: build, stage, phase, cap, separated by spaces
     * @param known the list that the node last had, as JSON
     */
    void start(String discovery, String control, String news, String known) throws IOException {
        this.news = news;
        this.known = known;
        configure(discovery, control);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.directory(root.toFile());
        builder.environment().put("RELAY_NAME", "n0");
        builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("RELAY_DISCOVERY", discovery);
        builder.environment().put("RELAY_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        Path log = folder.resolve("node.log");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        startedAt = record.seconds();
        process = builder.start();
        record.line("front node started, pid %d", process.pid());
    }

    /** Writes the configuration with these addresses. */
    void configure(String discovery, String control) throws IOException {
        String[] state = news.split(" ");
        Files.writeString(folder.resolve("config.json"), "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port
                + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":1024},\"rollouts\":{\"address\":\"" + control + "\",\"news\":{\"build\":" + state[0]
                + ",\"stage\":" + state[1] + ",\"phase\":\"" + state[2] + "\",\"cap\":" + state[3]
                + ",\"age_ms\":60000}},\"known\":" + known + ",\"settings\":" + SETTINGS + "}");
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Waits until GET /healthz answers 200; returns whether it did within that time. */
    boolean awaitReady(double seconds) throws InterruptedException {
        double until = record.seconds() + seconds;
        while (record.seconds() < until && isAlive()) {
            try (Client probe = new Client(port)) {
                if (probe.ask("GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n", 1_000).status() == 200) {
                    record.line("front node is ready");
                    return true;
                }
            } catch (IOException notYet) {
                // it does not listen yet
            }
            Thread.sleep(20);
        }
        return false;
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        record.line("SIG%s to the front node", name);
    }

    /** Ends the process by SIGKILL and waits for its end. */
    void kill() {
        Process running = process;
        if (running != null) {
            running.destroyForcibly();
            try {
                running.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("node.log"));
    }
}
