package laurelkeel.front;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import laurelkeel.records.RecordReader;
import laurelkeel.records.TrafficRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A node that runs out of a resource goes on with what it has, says so, and recovers once there is more. */
class ResourceExhaustionTest {
    @TempDir
    Path directory;

    @Test
    void aConnectThatFailsForWantOfDescriptorsDoesNotCountAgainstTheEndpoint() throws Exception {
        try (FrontChildProcess child =
                new FrontChildProcess(directory, "ulimit -n 160", List.of(), "", directory.resolve("log"))) {
            Socket admin = child.connect(child.adminPort);
            assertTrue(child.completesRequest(), Files.readString(directory.resolve("log")));
            FrontChildProcess.metric(admin, "");
            Socket first = child.connectClient();
            List<Socket> crowd = crowd(child);
            awaitNoDescriptorLeft();
            child.isSilent = true;
            List<Socket> asking = new ArrayList<>(crowd.subList(0, 20));
            asking.add(first);
            for (Socket socket : asking) {
                FrontTestPeers.send(socket, FrontTestPeers.lookRequest("Laurelkeel-Remaining-Ms: 1500\r\n"));
            }
            int harmless = 0;
            for (Socket socket : asking) {
                harmless += FrontTestPeers.receive(socket).contains("harmless") ? 1 : 0;
            }
            assertTrue(harmless >= 10, "where nothing left the front, asking again is harmless: " + harmless);
            assertEquals(
                    0,
                    FrontChildProcess.metric(admin, "laurelkeel_outcomes_total{outcome=\"no_connection\"}"),
                    "held against the machine");
            assertTrue(
                    FrontChildProcess.metric(admin, "laurelkeel_outcomes_total{outcome=\"not_sent\"}") > 0,
                    "as never sent");
            child.isSilent = false;
            for (Socket socket : crowd) {
                socket.close();
            }
            FrontTestRig.await("with room it is well again", child::completesRequest);
        }
    }

    /** The clients have taken all descriptors once the node logs that it lacks some. */
    private void awaitNoDescriptorLeft() {
        FrontTestRig.await("no descriptor is left", () -> {
            try {
                return Files.readString(directory.resolve("log")).contains("Too many open files");
            } catch (IOException e) {
                return false;
            }
        });
    }

    private static List<Socket> crowd(FrontChildProcess child) throws IOException {
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            crowd.add(child.connectClient());
        }
        return crowd;
    }

    /**
     * A class that is first needed with no descriptor left cannot be read from its file: these are the first requests.
     */
    @Test
    void theFirstRequestsAreAnsweredWithNoDescriptorLeft() throws Exception {
        try (FrontChildProcess child =
                new FrontChildProcess(directory, "ulimit -n 160", List.of(), "", directory.resolve("log"))) {
            List<Socket> crowd = crowd(child);
            awaitNoDescriptorLeft();
            for (Socket socket : crowd.subList(0, 20)) {
                FrontTestPeers.send(socket, FrontTestPeers.lookRequest("Laurelkeel-Remaining-Ms: 1500\r\n"));
            }
            for (Socket socket : crowd.subList(0, 20)) {
                assertTrue(
                        FrontTestPeers.receive(socket).contains("Laurelkeel-Answer: "),
                        Files.readString(directory.resolve("log")));
            }
            for (Socket socket : crowd) {
                socket.close();
            }
            FrontTestRig.await("with room it is well", child::completesRequest);
            child.terminate();
        }
    }

    /** Connections that wait in the backlog and cannot be accepted are no reason to stay. */
    @Test
    void aSignalEndsTheProcessWithNoDescriptorLeft() throws Exception {
        try (FrontChildProcess child =
                new FrontChildProcess(directory, "ulimit -n 160", List.of(), "", directory.resolve("log"))) {
            crowd(child);
            awaitNoDescriptorLeft();
            child.terminate();
        }
    }

    @Test
    void manyLargeBodiesUnderASmallHeapAreRejectedAndTheNodeRecovers() throws Exception {
        try (FrontChildProcess child =
                new FrontChildProcess(directory, ":", List.of("-Xmx64m"), "", directory.resolve("log"))) {
            Socket admin = child.connect(child.adminPort);
            assertTrue(child.completesRequest());
            String head = "POST /put HTTP/1.1\r\nHost: f\r\nContent-Length: 1000000\r\n\r\n";
            List<Socket> pouring = new ArrayList<>();
            for (int i = 0; i < 120; i++) {
                Socket socket = child.connectClient();
                pouring.add(socket);
                try {
                    // all but the last byte: a body that is held
                    FrontTestPeers.send(socket, head + "x".repeat(999_999));
                } catch (IOException e) {
                    // rejected and closed while it was still sending
                }
            }
            assertTrue(child.completesRequest(), "a req without a body has its answer beside them");
            assertTrue(FrontChildProcess.metric(admin, "laurelkeel_turned_away") > 60);
            double held = FrontChildProcess.metric(admin, "laurelkeel_body_bytes_held");
            assertTrue(held > 1_000_000 && held <= 8 << 20, "held " + held);
            for (Socket socket : pouring) {
                socket.close();
            }
            FrontTestRig.await(
                    "all is given back", () -> child.metricUnchecked(admin, "laurelkeel_body_bytes_held") == 0);
            Socket socket = child.connectClient();
            FrontTestPeers.send(socket, head + "x".repeat(1_000_000));
            assertTrue(FrontTestPeers.receive(socket).contains("Laurelkeel-Answer: completed"));
            FrontTestRig.await("this one too", () -> child.metricUnchecked(admin, "laurelkeel_body_bytes_held") == 0);
            child.terminate();
        }
    }

    /** An endpoint list service whose watch sends the lines it is given, and repeats the last one on a reconnect. */
    private HttpServer list(BlockingQueue<String> lines) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/list/watch", x -> {
            x.sendResponseHeaders(200, 0);
            try {
                for (String socket = "{\"kind\":\"beat\"}"; ; socket = lines.poll(500, TimeUnit.MILLISECONDS)) {
                    x.getResponseBody()
                            .write(((socket == null ? "{\"kind\":\"beat\"}" : socket) + "\n").getBytes(UTF_8));
                    x.getResponseBody().flush();
                }
            } catch (IOException | InterruptedException e) {
                x.close();
            }
        });
        server.start();
        return server;
    }

    private static String listed(int version, String first, int others, String state) {
        StringBuilder socket = new StringBuilder("{\"kind\":\"full\",\"version\":" + version + ",\"machines\":["
                + FrontTestPeers.endpointJson(first, "live"));
        for (int i = 0; i < others; i++) {
            socket.append(',').append(FrontTestPeers.endpointJson("127.0.0.1:" + (i + 1), state));
        }
        return socket.append("]}").toString();
    }

    @Test
    void aStandardErrorThatNobodyReadsBlocksNothing() throws Exception {
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        HttpServer list = list(lines);
        try (FrontChildProcess child = new FrontChildProcess(
                directory,
                ":",
                List.of(),
                "[list]\naddress = 127.0.0.1:" + list.getAddress().getPort() + "\n",
                null)) {
            Socket admin = child.connect(child.adminPort);
            assertTrue(child.completesRequest());
            // each of these logs a warning for each endpoint: far more than a pipe holds
            for (int i = 0; i < 60; i++) {
                lines.add(listed(i + 1, child.endpointId(), 50, "resting"));
            }
            FrontTestRig.await("the lines are read", lines::isEmpty);
            for (int i = 0; i < 20; i++) {
                assertTrue(child.completesRequest(), "req " + i);
            }
            assertTrue(
                    FrontChildProcess.metric(admin, "laurelkeel_log_lines_left_out") > 1000,
                    "what is left out is counted");
            child.terminate();
        } finally {
            list.stop(0);
        }
    }

    @Test
    void aFullDiskEndsNothingAndOnceThereIsRoomAllIsWrittenAgain() throws Exception {
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        HttpServer list = list(lines);
        // 64 KiB a file: one list of so many endpoints is more
        try (FrontChildProcess child = new FrontChildProcess(
                directory,
                "ulimit -S -f 64",
                List.of("-XX:-UsePerfData"),
                "[list]\naddress = 127.0.0.1:" + list.getAddress().getPort() + "\n",
                directory.resolve("log"))) {
            Socket admin = child.connect(child.adminPort);
            for (int i = 0; i < 5; i++) {
                lines.add(listed(i + 1, child.endpointId(), 900, "draining"));
            }
            FrontTestRig.await("the disk is full", () -> child.metricUnchecked(admin, "laurelkeel_records_lost") > 0);
            for (int i = 0; i < 20; i++) {
                assertTrue(child.completesRequest(), "req " + i);
            }
            Path kept = directory.resolve("state/list.json");
            assertTrue(Files.size(kept) < 64 << 10, "what was kept before stands");
            assertEquals(
                    0,
                    new ProcessBuilder("prlimit", "--pid", Long.toString(child.process.pid()), "--fsize=unlimited")
                            .start()
                            .waitFor());
            FrontTestRig.await("with room the list is kept, though none came since", () -> {
                try {
                    return Files.size(kept) > 64 << 10;
                } catch (IOException e) {
                    return false;
                }
            });
            lines.add(listed(9, child.endpointId(), 1, "draining"));
            FrontTestRig.await("and records are", () -> {
                try {
                    return RecordReader.readAll(directory).stream()
                            .anyMatch(r -> r instanceof TrafficRecord.EndpointListReceived l
                                    && l.endpoints().size() == 2);
                } catch (IOException e) {
                    return false;
                }
            });
            assertTrue(RecordReader.readAll(directory).stream()
                    .anyMatch(r -> r instanceof TrafficRecord.RecordsLost l && l.count() > 0));
            child.terminate();
        } finally {
            list.stop(0);
        }
    }
}
