package laurelkeel.records;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Writes records to one file. A failing or full disk never fails the caller: records that do not reach the file are
 * counted, and the count is recorded once the disk takes lines again. Thread-safe.
 */
public final class RecordWriter implements Closeable {
    private static final int BUFFER_BYTES = 8 << 10;

    private final RecordFile file;
    private final boolean isUnbuffered;
    /** Whole lines that have not reached the file. */
    private final ByteArrayOutputStream bufferedLines = new ByteArrayOutputStream();

    private int bufferedRecords;
    private long lostRecords;
    private long unreportedLosses;

    /**
     * Opens the file for appending; an incomplete last line is cut off.
     *
     * @param isUnbuffered whether each line reaches the file before {@link #record} returns, for processes that may be
     *     killed
     * @throws IOException where the path itself is wrong: missing, not a folder, not allowed
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
            file.append(withLossReport());
            unreportedLosses = 0;
        } catch (IOException e) {
            lostRecords += bufferedRecords;
            unreportedLosses += bufferedRecords;
        }
        bufferedLines.reset();
        bufferedRecords = 0;
    }

    /** The buffered lines, after a line on records lost before them. */
    private byte[] withLossReport() throws IOException {
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        if (unreportedLosses > 0) {
            lines.write(RecordJson.encodeLine(new TrafficRecord.RecordsLost(RecordClock.nowTicks(), unreportedLosses)));
        }
        bufferedLines.writeTo(lines);
        return lines.toByteArray();
    }

    /** How many records did not reach the file since it was opened. */
    public synchronized long lostRecords() {
        return lostRecords;
    }

    @Override
    public synchronized void close() throws IOException {
        flush();
        file.close();
    }
}
