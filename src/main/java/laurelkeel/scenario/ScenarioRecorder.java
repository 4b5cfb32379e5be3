package laurelkeel.scenario;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import laurelkeel.records.RecordWriter;
import laurelkeel.records.TrafficRecord;

/** Writes the test bed's records to two files: those of clients and all others. Thread-safe. */
final class ScenarioRecorder implements Closeable {
    private final RecordWriter clientRecords;
    private final RecordWriter serverRecords;
    private volatile boolean hasEnded;

    /** @throws IOException if a file cannot be opened */
    ScenarioRecorder(Path folder) throws IOException {
        clientRecords = new RecordWriter(folder.resolve("clients.jsonl"), false);
        serverRecords = new RecordWriter(folder.resolve("machines.jsonl"), false);
    }

    void record(TrafficRecord trafficRecord) {
        if (!hasEnded) {
            (isOfClient(trafficRecord) ? clientRecords : serverRecords).record(trafficRecord);
        }
    }

    private static boolean isOfClient(TrafficRecord trafficRecord) {
        return trafficRecord instanceof TrafficRecord.RequestSent
                || trafficRecord instanceof TrafficRecord.ResponseReceived
                || trafficRecord instanceof TrafficRecord.UnexpectedBytes
                || trafficRecord instanceof TrafficRecord.ConnectionBroken
                || trafficRecord instanceof TrafficRecord.ClientClosed;
    }

    /** Drops all further records. */
    void end() {
        hasEnded = true;
    }

    @Override
    public void close() throws IOException {
        clientRecords.close();
        serverRecords.close();
    }
}
