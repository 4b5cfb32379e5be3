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

/**
 * A node that runs out of a resource keeps serving with the rest, reports it, and recovers once the resource is free.
 */
class ResourceExhaustionTest {
    @TempDir
    Path directory;

    @Test
    void aConnectWithoutFreeDescriptorsDoesNotCountAgainstTheEndpoint() throws Exception {
        try (FrontChildProcess child =
                new FrontChildProcess(directory, "ulimit -n 160", List.of(), "", directory.resolve("log"))) {
            Socket admin = child.connect(child.adminPort);
            assertTrue(child.completesRequest(), Files.readString(directory.resolve("log")));
            FrontChildProcess.metric(admin, "");
            Socket first = child.connectClient();
            List<Socket> clients = connectClients(child);
            awaitNoDescriptorLeft();
            child.ignoresRequests = true;
            List<Socket> requesting = new ArrayList<>(clients.subList(0, 20));
            requesting.add(first);
            for (Socket socket : requesting) {
                FrontTestPeers.send(socket, FrontTestPeers.lookRequest("Laurelkeel-Remaining-Ms: 1500\r\n"));
            }
            int harmlessCount = 0;
            for (Socket socket : requesting) {
                harmlessCount += FrontTestPeers.receive(socket).contains("harmless") ? 1 : 0;
            }
            assertTrue(
                    harmlessCount >= 10, "rejections of requests that were not sent to the endpoint: " + harmlessCount);
            assertEquals(
                    0,
                    FrontChildProcess.metric(admin, "laurelkeel_outcomes_total{outcome=\"no_connection\"}"),
                    "the failed connects counted against the endpoint");
            assertTrue(
                    FrontChildProcess.metric(admin, "laurelkeel_outcomes_total{outcome=\"not_sent\"}") > 0,
                    "the attempts did not count as not sent");
            child.ignoresRequests = false;
            for (Socket socket : clients) {
                socket.close();
            }
            FrontTestRig.await("the node recovers once descriptors are free", child::completesRequest);
        }
    }

    /** Waits until the node logs that it has no free file descriptor. */
    private void awaitNoDescriptorLeft() {
        FrontTestRig.await("no file descriptor is free", () -> {
            try {
                return Files.readString(directory.resolve("log")).contains("Too many open files");
            } catch (IOException e) {
                return false;
            }
        });
    }

    private static List<Socket> connectClients(FrontChildProcess child) throws IOException {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            clients.add(child.connectClient());
        }
        return clients;
    }

    /**
     * A class that is first needed while no file descriptor is free cannot be loaded from its file. These are the
     * node's first requests, so the classes that serve requests are needed for the first time.
     */
    @Test
    void theFirstRequestsAreAnsweredWithoutFreeDescriptors() throws Exception {
        try (FrontChildProcess child =
                new FrontChildProcess(directory, "ulimit -n 160", List.of(), "", directory.resolve("log"))) {
            List<Socket> clients = connectClients(child);
            awaitNoDescriptorLeft();
            for (Socket socket : clients.subList(0, 20)) {
                FrontTestPeers.send(socket, FrontTestPeers.lookRequest("Laurelkeel-Remaining-Ms: 1500\r\n"));
            }
            for (Socket socket : clients.subList(0, 20)) {
                assertTrue(
                        FrontTestPeers.receive(socket).contains("Laurelkeel-Answer: "),
                        Files.readString(directory.resolve("log")));
            }
            for (Socket socket : clients) {
                socket.close();
            }
            FrontTestRig.await("the node recovers once descriptors are free", child::completesRequest);
            child.terminate();
        }
    }

    /** Connections that wait in the backlog and cannot be accepted must not keep the process running. */
    @Test
    void aSignalEndsTheProcessWithoutFreeDescriptors() throws Exception {
        try (FrontChildProcess child =
                new FrontChildProcess(directory, "ulimit -n 160", List.of(), "", directory.resolve("log"))) {
            connectClients(child);
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
            List<Socket> uploading = new ArrayList<>();
            for (int i = 0; i < 120; i++) {
                Socket socket = child.connectClient();
                uploading.add(socket);
                try {
                    // all but the last byte, so that the node buffers the body
                    FrontTestPeers.send(socket, head + "x".repeat(999_999));
                } catch (IOException e) {
                    // the node rejected the request and closed the connection during the upload
                }
            }
            assertTrue(child.completesRequest(), "a request without a body is answered meanwhile");
            assertTrue(FrontChildProcess.metric(admin, "laurelkeel_turned_away") > 60);
            double bodyBytes = FrontChildProcess.metric(admin, "laurelkeel_body_bytes_held");
            assertTrue(bodyBytes > 1_000_000 && bodyBytes <= 8 << 20, "body bytes in memory: " + bodyBytes);
            for (Socket socket : uploading) {
                socket.close();
            }
            FrontTestRig.await(
                    "all body bytes are released",
                    () -> child.metricUnchecked(admin, "laurelkeel_body_bytes_held") == 0);
            Socket socket = child.connectClient();
            FrontTestPeers.send(socket, head + "x".repeat(1_000_000));
            assertTrue(FrontTestPeers.receive(socket).contains("Laurelkeel-Answer: completed"));
            FrontTestRig.await(
                    "its body bytes are released too",
                    () -> child.metricUnchecked(admin, "laurelkeel_body_bytes_held") == 0);
            child.terminate();
        }
    }

    /**
     * Starts an endpoint list service whose watch sends the lines of a queue, with heartbeats while the queue is empty.
     */
    private HttpServer startListService(BlockingQueue<String> lines) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/list/watch", exchange -> {
            exchange.sendResponseHeaders(200, 0);
            try {
                for (String line = "{\"kind\":\"beat\"}"; ; line = lines.poll(500, TimeUnit.MILLISECONDS)) {
                    exchange.getResponseBody()
                            .write(((line == null ? "{\"kind\":\"beat\"}" : line) + "\n").getBytes(UTF_8));
                    exchange.getResponseBody().flush();
                }
            } catch (IOException | InterruptedException e) {
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    private static String snapshotJson(int version, String first, int others, String state) {
        StringBuilder json = new StringBuilder("{\"kind\":\"full\",\"version\":" + version + ",\"machines\":["
                + FrontTestPeers.endpointJson(first, "live"));
        for (int i = 0; i < others; i++) {
            json.append(',').append(FrontTestPeers.endpointJson("127.0.0.1:" + (i + 1), state));
        }
        return json.append("]}").toString();
    }

    @Test
    void aStandardErrorPipeWithoutAReaderBlocksNothing() throws Exception {
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        HttpServer listService = startListService(lines);
        try (FrontChildProcess child = new FrontChildProcess(
                directory,
                ":",
                List.of(),
                "[list]\naddress = 127.0.0.1:" + listService.getAddress().getPort() + "\n",
                null)) {
            Socket admin = child.connect(child.adminPort);
            assertTrue(child.completesRequest());
            // the node logs a warning for each endpoint of each list, far more than a pipe buffers
            for (int i = 0; i < 60; i++) {
                lines.add(snapshotJson(i + 1, child.endpointId(), 50, "resting"));
            }
            FrontTestRig.await("the lines are read", lines::isEmpty);
            for (int i = 0; i < 20; i++) {
                assertTrue(child.completesRequest(), "request " + i);
            }
            assertTrue(
                    FrontChildProcess.metric(admin, "laurelkeel_log_lines_left_out") > 1000,
                    "dropped log lines are counted");
            child.terminate();
        } finally {
            listService.stop(0);
        }
    }

    @Test
    void aFullDiskStopsNothingAndWritesResumeOnceItHasSpace() throws Exception {
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        HttpServer listService = startListService(lines);
        // files are limited to 64 KiB, and a list of 900 endpoints is larger
        try (FrontChildProcess child = new FrontChildProcess(
                directory,
                "ulimit -S -f 64",
                List.of("-XX:-UsePerfData"),
                "[list]\naddress = 127.0.0.1:" + listService.getAddress().getPort() + "\n",
                directory.resolve("log"))) {
            Socket admin = child.connect(child.adminPort);
            for (int i = 0; i < 5; i++) {
                lines.add(snapshotJson(i + 1, child.endpointId(), 900, "draining"));
            }
            FrontTestRig.await("the disk is full", () -> child.metricUnchecked(admin, "laurelkeel_records_lost") > 0);
            for (int i = 0; i < 20; i++) {
                assertTrue(child.completesRequest(), "request " + i);
            }
            Path storedList = directory.resolve("state/list.json");
            assertTrue(Files.size(storedList) < 64 << 10, "the list stored before is intact");
            assertEquals(
                    0,
                    new ProcessBuilder("prlimit", "--pid", Long.toString(child.process.pid()), "--fsize=unlimited")
                            .start()
                            .waitFor());
            FrontTestRig.await("the last list is stored once the disk has space, without a new one", () -> {
                try {
                    return Files.size(storedList) > 64 << 10;
                } catch (IOException e) {
                    return false;
                }
            });
            lines.add(snapshotJson(9, child.endpointId(), 1, "draining"));
            FrontTestRig.await("records are written again", () -> {
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
            listService.stop(0);
        }
    }
}
