package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Measures the memory of a real node, and how long its other clients wait, while some clients misbehave. */
public final class FloodBench {
    /** The number of clients of each kind of flood that consists of many clients. */
    static final int CROWD_CLIENTS = 400;

    private static final int ENDPOINTS = 12;
    private static final int STEADY_CLIENTS = 8;
    private static final int STEADY_REQUESTS_PER_SECOND = 100;
    private static final int SECONDS = 8;
    private static final int FLOOD_AFTER_MILLIS = 1_000;
    private static final long FLOOD_MILLIS = (long) (FloodKind.FLOOD_SECONDS * 1_000);
    private static final int READ_BUFFER_BYTES = 64 << 10;
    private static final int SMALL_BUFFER_BYTES = 4 << 10;
    private static final double HIGH_PERCENTILE = 99;
    private static final double MAXIMUM_PERCENTILE = 100;
    private static final long SEED = 1;

    private final NodeImage image;
    private final Path folder;

    /** @param folder for the configurations and logs of the nodes */
    public FloodBench(NodeImage image, Path folder) {
        this.image = image;
        this.folder = folder;
    }

    /** Plays one kind of flood on a new node. */
    public FloodResult run(NodeKind node, FloodKind flood) throws IOException, InterruptedException {
        Path runFolder = folder.resolve((node + "-" + flood).toLowerCase(Locale.ROOT));
        try (SingleNodeTestBed testBed =
                new SingleNodeTestBed(node, image, EndpointScript.SERVES, ENDPOINTS, runFolder)) {
            SteadyLoad others =
                    SteadyLoad.start(testBed.port(), STEADY_CLIENTS, STEADY_REQUESTS_PER_SECOND, SECONDS, SEED);
            Thread.sleep(FLOOD_AFTER_MILLIS);
            ReadProgress progress = new ReadProgress(testBed.clock().seconds());
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < flood.clients(); i++) {
                sockets.add(startClient(testBed, flood, "f" + i, progress));
            }
            Thread.sleep(FLOOD_MILLIS);
            progress.silentUntil(testBed.clock().seconds());
            double silenceSeconds = progress.longestSilenceSeconds();
            others.join();
            FloodResult result = new FloodResult(
                    node,
                    flood,
                    testBed.node().isAlive(),
                    testBed.node().peakMemoryMegabytes(),
                    others.sent(),
                    others.served(),
                    others.responseMillis(HIGH_PERCENTILE),
                    others.responseMillis(MAXIMUM_PERCENTILE),
                    progress.bytes() >> 10,
                    silenceSeconds);
            for (Socket socket : sockets) {
                socket.close();
            }
            return result;
        }
    }

    private static Socket startClient(SingleNodeTestBed testBed, FloodKind flood, String name, ReadProgress progress)
            throws IOException {
        Socket socket = new Socket();
        if (!flood.readsResponses()) {
            // otherwise the kernel would take the responses of several seconds
            socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        }
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), testBed.port()));
        socket.setTcpNoDelay(true);
        DaemonThreads.start("flood", () -> flood.send(socket, name, testBed.clock()));
        if (flood.readsResponses()) {
            DaemonThreads.start("flood reader", () -> readAll(testBed.clock(), socket.getInputStream(), progress));
        }
        return socket;
    }

    private static void readAll(RunClock clock, InputStream in, ReadProgress progress) throws IOException {
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            progress.read(count, clock.seconds());
        }
    }
}
