package laurelkeel.front;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import laurelkeel.testbed.PortAllocator;

/**
 * A front node in its own process, under limited resources: file descriptors, memory, disk space, or a log pipe without
 * a reader. Its clients are plain sockets; its only endpoint, known from the cached list, answers every request.
 */
final class FrontChildProcess implements AutoCloseable {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    final Process process;
    final int port = PortAllocator.allocate(), adminPort = PortAllocator.allocate();
    private final ServerSocket endpointServer = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
    volatile boolean ignoresRequests;

    /**
     * @param limits shell commands to run before the node, such as "ulimit -n 100"
     * @param java arguments for the virtual machine
     * @param log file for standard error; null for a pipe that is never read
     */
    FrontChildProcess(Path folder, String limits, List<String> java, String extra, Path log) throws IOException {
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
        Path file = folder.resolve("child.ini");
        Files.createDirectories(folder.resolve("state"));
        Files.writeString(
                folder.resolve("state/list.json"), "[" + FrontTestPeers.endpointJson(endpointId(), "live") + "]");
        Files.writeString(
                file,
                "[front]\nnumber = 0\nfronts = 1\nlisten = 127.0.0.1:" + port + "\nadmin = 127.0.0.1:"
                        + adminPort + "\nrecords = child.jsonl\n"
                        + """
                [route look]
                path = /look
                effect = retriable
                objective = 2 s
                timeout = 5 s
                [route put]
                path = /put
                method = POST
                effect = non-retriable
                objective = 2 s
                timeout = 5 s
                [rollout]
                stage-caps = 0.2, 1
                """
                        + extra);
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1"));
        command.addAll(java);
        command.addAll(
                List.of("-cp", System.getProperty("java.class.path"), "laurelkeel.cli.Main", "front", file.toString()));
        ProcessBuilder builder = new ProcessBuilder("bash", "-c", limits + "; exec \"$@\"", "bash");
        builder.command().addAll(command);
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        if (log != null) {
            builder.redirectError(log.toFile());
        }
        process = builder.start();
        FrontTestRig.await("the child process accepts connections", () -> {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                return socket.isConnected();
            } catch (IOException e) {
                if (!process.isAlive()) {
                    throw new IllegalStateException("the child process exited with status " + process.exitValue());
                }
                return false;
            }
        });
    }

    private void serve() {
        try {
            while (true) {
                Socket socket = endpointServer.accept();
                openSockets.add(socket);
                Thread thread = new Thread(() -> answer(socket));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // the test has ended
        }
    }

    private void answer(Socket socket) {
        try {
            while (!FrontTestPeers.receive(socket).endsWith("<end>")) {
                if (!ignoresRequests) {
                    FrontTestPeers.send(socket, OK);
                }
            }
        } catch (IOException e) {
            // the node closed the connection
        }
    }

    Socket connectClient() throws IOException {
        return connect(port);
    }

    Socket connect(int toPort) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), toPort);
        socket.setSoTimeout(20_000);
        openSockets.add(socket);
        return socket;
    }

    /** Reads a metric of the node over a connection to its admin address; 0 if there is no such metric. */
    static double metric(Socket admin, String name) throws IOException {
        FrontTestPeers.send(admin, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        String text = FrontTestPeers.receive(admin);
        Matcher m = Pattern.compile("(?m)^" + Pattern.quote(name) + " (\\S+)").matcher(text);
        return m.find() ? Double.parseDouble(m.group(1)) : 0;
    }

    /** Reads a metric like {@link #metric}, for use in a condition, which cannot throw checked exceptions. */
    double metricUnchecked(Socket admin, String name) {
        try {
            return metric(admin, name);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    String endpointId() {
        return "127.0.0.1:" + endpointServer.getLocalPort();
    }

    /** Returns whether a request of a new client is completed. */
    boolean completesRequest() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(5_000);
            FrontTestPeers.send(socket, FrontTestPeers.lookRequest(""));
            return FrontTestPeers.receive(socket).contains("Laurelkeel-Answer: completed");
        } catch (IOException e) {
            return false;
        }
    }

    void terminate() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(20, TimeUnit.SECONDS)) {
            throw new AssertionError("the process did not exit on SIGTERM");
        }
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        for (Socket socket : openSockets) {
            socket.close();
        }
        endpointServer.close();
    }
}
