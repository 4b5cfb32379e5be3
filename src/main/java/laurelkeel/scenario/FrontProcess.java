package laurelkeel.scenario;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import laurelkeel.testbed.PortAllocator;

/** One front as a process of its own, started from a settings file that the day writes. */
final class FrontProcess {
    final int number;
    final InetSocketAddress at;
    private final Path folder;
    private Process process;

    private FrontProcess(int number, InetSocketAddress at, Path folder) {
        this.number = number;
        this.at = at;
        this.folder = folder;
    }

    /** Writes the files of all fronts of a plan. */
    static List<FrontProcess> prepare(Scenario plan, ScenarioEnvironment world, Path folder, long seed)
            throws IOException {
        int n = plan.nodeCount();
        int[] listen = new int[n];
        int[] notes = new int[n];
        for (int i = 0; i < n; i++) {
            listen[i] = PortAllocator.allocate();
            notes[i] = PortAllocator.allocate();
        }
        StringBuilder peers = new StringBuilder("[peers]\n");
        for (int i = 0; i < n; i++) {
            peers.append(i).append(" = 127.0.0.1:").append(notes[i]).append('\n');
        }
        List<FrontProcess> out = new java.util.ArrayList<>();
        for (int i = 0; i < n; i++) {
            String text = "; made for a day; see docs/front.md\n[front]\nnumber = " + i + "\nfronts = " + n
                    + "\nzones = " + String.join(", ", plan.zones()) + "\nzone = "
                    + plan.zones().get(i % plan.zones().size()) + "\nseed = " + (seed * 1000 + i)
                    + "\nlisten = 127.0.0.1:" + listen[i] + "\nadmin = 127.0.0.1:" + PortAllocator.allocate()
                    + "\nnotes = 127.0.0.1:" + notes[i] + "\nstate = front-" + i + "-state\nrecords = front-" + i
                    + ".jsonl\n" + plan.nodeSections() + "[list]\nmode = "
                    + (plan.endpointListPolled() ? "ask" : "push")
                    + "\naddress = 127.0.0.1:" + world.endpointListAddress().getPort()
                    + "\n[release]\naddress = 127.0.0.1:"
                    + world.rolloutServiceAddress().getPort() + "\n" + peers;
            Files.writeString(folder.resolve("front-" + i + ".ini"), text);
            out.add(new FrontProcess(i, new InetSocketAddress(InetAddress.getByName("127.0.0.1"), listen[i]), folder));
        }
        return out;
    }

    void start() throws IOException {
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx512m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "laurelkeel.cli.Main",
                        "front",
                        folder.resolve("front-" + number + ".ini").toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("front-" + number + ".log").toFile()))
                .start();
    }

    /** Waits until it takes connections. */
    void awaitReady() throws IOException {
        long end = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < end) {
            if (!process.isAlive()) {
                throw new IOException("front " + number + " ended with " + process.exitValue() + "; see "
                        + folder.resolve("front-" + number + ".log"));
            }
            try (Socket s = new Socket()) {
                s.connect(at, 200);
                return;
            } catch (IOException e) {
                LockSupport.parkNanos(20_000_000);
            }
        }
        throw new IOException("front " + number + " takes no connections after 30 s");
    }

    void kill() {
        process.destroyForcibly();
    }

    void terminate() {
        if (process != null) {
            process.destroy();
        }
    }

    boolean running() {
        return process.isAlive();
    }

    /** Its exit code, or null where it had to be killed. */
    Integer awaitEnd(long seconds) throws InterruptedException {
        if (process == null) {
            return 0;
        }
        if (process.waitFor(seconds, TimeUnit.SECONDS)) {
            return process.exitValue();
        }
        process.destroyForcibly();
        return null;
    }
}
