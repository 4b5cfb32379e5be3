package laurelkeel.simulatoradapter;

import java.io.BufferedReader;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Reads the simulator's messages line by line and counts the lines. Skips empty lines. */
final class MessageReader {
    private final BufferedReader in;
    private long lineNumber;

    MessageReader(BufferedReader in) {
        this.in = in;
    }

    /** Reads the next message; null at the end of the input. */
    @Nullable
    MessageFields next() throws IOException {
        String text;
        do {
            text = in.readLine();
            lineNumber++;
        } while (text != null && text.isEmpty());
        return text == null ? null : new MessageFields(lineNumber, text);
    }

    /**
     * Reads the next message within a batch.
     *
     * @throws MalformedSimulatorMessageException if the input ends
     */
    MessageFields nextInBatch() throws IOException {
        MessageFields fields = next();
        if (fields == null) {
            throw new MalformedSimulatorMessageException(lineNumber, "commit", "the input ends within a batch");
        }
        return fields;
    }
}
