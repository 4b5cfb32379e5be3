package laurelkeel.front.controlplane;

import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import laurelkeel.wire.BoundedLineReader;
import laurelkeel.wire.LineTooLongException;

/**
 * Hands over the lines of a response body as they arrive. The next part is requested only once the executor has come to
 * it, so that a fast source cannot outrun whoever deals with its lines.
 */
final class LineBodySubscriber extends SequentialBodySubscriber {
    /** A whole endpoint list is one line: some 150 bytes an endpoint, for a hundred thousand endpoints. */
    static final int MAX_LINE_BYTES = 16 << 20;

    private final Consumer<String> onLine;
    private final Executor executor;
    private final BoundedLineReader lines = new BoundedLineReader(MAX_LINE_BYTES);

    /**
     * Creates a subscriber.
     *
     * @param onLine called on the HTTP client's threads, for one line at a time
     * @param executor runs what requests more, after what the lines so far gave it to run
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
    void whenReady(Runnable requestMore) {
        executor.execute(requestMore);
    }

    @Override
    String result() {
        return lines.incompleteLine();
    }
}
