package laurelkeel.records;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Writes records to one file. A failing or full disk does not cause an error in the caller: records that cannot be
 * written are counted as lost, and the count is recorded once writing succeeds again. Thread-safe.
 */
public final class RecordWriter implements Closeable {
    private static final int BUFFER_BYTES = 8 << 10;

    private final RecordFile file;
    private final boolean isUnbuffered;
    /** Complete lines that are not yet written to the file. */
    private final ByteArrayOutputStream bufferedLines = new ByteArrayOutputStream();

    private int bufferedRecords;
    private long lostRecords;
    private long unreportedLosses;

    /**
     * Opens the file for appending and removes an incomplete last line.
     *
     * @param isUnbuffered whether each line is written to the file before {@link #record} returns, for processes that
     *     may be killed
     * @throws IOException if the path itself is unusable: missing, not a folder, or access denied
     */
    public RecordWriter(Path path, boolean isUnbuffered) throws IOException {
        this.file = new RecordFile(path);
        this.isUnbuffered = isUnbuffered;
    }

    /** Writes a record, or counts it as lost. */
    public synchronized void record(TrafficRecord trafficRecord) {
        try {
            bufferedLines.writeBytes(RecordJson.encodeLine(trafficRecord));
        } catch (JsonProcessingException e) {
            lostRecords++;
            unreportedLosses++;
            return;
        }
        bufferedRecords++;
        if (isUnbuffered || bufferedLines.size() >= BUFFER_BYTES) {
            flush();
        }
    }

    private void flush() {
        try {
            file.append(linesWithLossReport());
            unreportedLosses = 0;
        } catch (IOException e) {
            lostRecords += bufferedRecords;
            unreportedLosses += bufferedRecords;
        }
        bufferedLines.reset();
        bufferedRecords = 0;
    }

    /** Returns the buffered lines, preceded by a line that reports earlier lost records if there are any. */
    private byte[] linesWithLossReport() throws IOException {
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        if (unreportedLosses > 0) {
            lines.write(RecordJson.encodeLine(new TrafficRecord.RecordsLost(RecordClock.nowTicks(), unreportedLosses)));
        }
        bufferedLines.writeTo(lines);
        return lines.toByteArray();
    }

    /** Returns the number of records lost since the file was opened. */
    public synchronized long lostRecords() {
        return lostRecords;
    }

    @Override
    public synchronized void close() throws IOException {
        flush();
        file.close();
    }
}
