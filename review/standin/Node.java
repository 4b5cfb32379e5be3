package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;

/** A front node, started as a process with the `run` line of the deploy file. */
final class Node implements AutoCloseable {
    private static final int SOCKETS = 1024;

    private final Path folder;
    private final int port;
    private Process process;

    private Node(Path folder, int port) {
        this.folder = folder;
        this.port = port;
    }

    /** Settings like those of the deployment shannon-flags. */
    static String settings() {
        return """
            {"selfIndex":0,"balancers":3,"kindOfService":"rollout","membershipMode":"push","zone":0,
             "zones":["dub-north","dub-west","cork-main"],"kinds":["std-1","slow-1"],"weights":"rough","tier":0,
             "tiers":["flag-serve"],"resolution":5.0,"valueBy":"request","overShareWorth":0.05,
             "services":[
              {"name":"lookup","effect":"safe","dedupScope":"all","repeatWindow":5000.0,"onTime":800.0,
               "deadline":2500.0,"points":2.0,"lateValue":0.0,"stream":false},
              {"name":"snapshot","effect":"safe","dedupScope":"all","repeatWindow":5000.0,"onTime":1200.0,
               "deadline":4000.0,"points":1.0,"lateValue":0.0,"stream":false},
              {"name":"change","effect":"keyed","dedupScope":"all","repeatWindow":5000.0,"onTime":2000.0,
               "deadline":8000.0,"points":3.0,"lateValue":0.2,"stream":false}],
             "orgs":[{"name":"liffey-pay","quotaRps":34.0,"share":0.4},{"name":"corrib-bank","quotaRps":32.0,"share":0.38},
              {"name":"boyne-mobile","quotaRps":12.0,"share":0.14},{"name":"barrow-retail","quotaRps":7.0,"share":0.08}],
             "callers":{"marksRetry":false},
             "allowed":{"maxAttempts":6,"cancel":true,"retryAfter":true,"maxRetryAfter":500.0,"mayProbe":true,
              "mayTell":false,"parallelTries":false,"dialTimeout":250.0,"idleClose":15000.0,"maxOpen":2000,
              "maxStreams":32,"cpuUsPerS":80000.0,"cpuUsPerRequest":0.0},
             "rules":{"answerSlack":20.0,"askWithin":10000.0,"drainGrace":1000.0,"cold":4700.0,"coldFrom":0.38,
              "tipAfter":3000.0,"tipMultiple":2.5},
             "prices":{"crossZone":0.08,"probe":0.01,"lateFail":0.03,"waste":0.08},
             "loadReport":{"fields":["mean_ms","concurrent"],"how":"probe"},
             "familyInfo":{"gateMode":"by_count","votesToGo":2,"noesNeeded":1,"toPause":0,"leastStage":1500.0,
              "rings":[0.1,0.35,1.0],"stageCap":[0.12,0.42,1.0],"callTimeout":800.0,"voteTtl":6000.0,"votesPerS":120.0,
              "countedOver":4000.0,"uncounted":3.0,"capScope":"all","guardedStages":0,"keysStay":true,"push":4000.0,
              "tally":1000.0,"countedShare":0.4,"complaintShare":0.0,"replaceMode":"replace","staleBuildPrice":0.45,
              "damagePrice":4.0,"warmKeys":true}}""";
    }

    /** Prepares a node in a temporary folder of its own, on a free port. */
    static Node prepare() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new Node(Files.createTempDirectory("review-node"), free.getLocalPort());
        }
    }

    /** Writes the configuration file. */
    void configure(String discovery, String control, String known, int build) throws IOException {
        Path next = folder.resolve("next.json");
        Files.writeString(
                next,
                "{\"name\":\"n0\",\"listen\":\"" + address() + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                        + SOCKETS + "},\"rollouts\":{\"address\":\"" + control + "\",\"news\":{\"build\":" + build
                        + ",\"stage\":2,\"phase\":\"Healthy\",\"cap\":1.0,\"age_ms\":600000}},\"known\":" + known
                        + ",\"settings\":" + settings() + "}");
        Files.move(next, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts the process. */
    void start(Path repository) throws IOException {
        String run = Files.readAllLines(repository.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + SOCKETS + " && " + run);
        builder.directory(repository.toFile());
        builder.environment().put("RELAY_NAME", "n0");
        builder.environment().put("RELAY_LISTEN", address());
        builder.environment().put("RELAY_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        process = builder.start();
        Process started = process;
        // also if the run is interrupted
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    int port() {
        return port;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Waits until /healthz answers 200; returns whether it did in time. */
    boolean awaitReady(long maxMillis) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
        while (System.nanoTime() < deadline && process.isAlive()) {
            try {
                HttpURLConnection connection = (HttpURLConnection)
                        URI.create("http://" + address() + "/healthz").toURL().openConnection();
                connection.setConnectTimeout(500);
                connection.setReadTimeout(500);
                if (connection.getResponseCode() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(50);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
