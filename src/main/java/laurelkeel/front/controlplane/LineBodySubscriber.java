package laurelkeel.front.controlplane;

import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import laurelkeel.wire.BoundedLineReader;
import laurelkeel.wire.LineTooLongException;

/**
 * Passes on the lines of a response body as they arrive. The next part is requested by a task on the executor, so that a
 * fast source cannot outrun the consumer of its lines.
 */
final class LineBodySubscriber extends SequentialBodySubscriber {
    /** A whole endpoint list is one line: about 150 bytes per endpoint, for 100,000 endpoints. */
    static final int MAX_LINE_BYTES = 16 << 20;

    private final Consumer<String> onLine;
    private final Executor executor;
    private final BoundedLineReader lines = new BoundedLineReader(MAX_LINE_BYTES);

    /**
     * Creates a subscriber.
     *
     * @param onLine called on the HTTP client's threads, for one line at a time
     * @param executor requests the next part, after it has run the tasks that the previous lines posted to it
     */
    LineBodySubscriber(Consumer<String> onLine, Executor executor) {
        this.onLine = onLine;
        this.executor = executor;
    }

    @Override
    void consume(ByteBuffer part) throws LineTooLongException {
        lines.read(part, onLine::accept);
    }

    @Override
    void onPartsConsumed(Runnable requestMore) {
        executor.execute(requestMore);
    }

    @Override
    String result() {
        return lines.incompleteLine();
    }
}
