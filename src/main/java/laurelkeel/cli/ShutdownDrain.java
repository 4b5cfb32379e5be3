package laurelkeel.cli;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import laurelkeel.api.Ticks;
import laurelkeel.front.FrontNode;
import laurelkeel.front.FrontSettings;
import laurelkeel.logging.RateLimitedAsyncAppender;

/** Drains a front node when the process shuts down, and waits until the node has terminated. */
final class ShutdownDrain implements Runnable {
    /** Added to the longest time that a drain is expected to take. */
    private static final long MARGIN_MILLIS = 5_000;

    private final FrontNode node;
    private final long maxWaitMillis;

    ShutdownDrain(FrontNode node, FrontSettings settings) {
        this.node = node;
        this.maxWaitMillis = maxDrainTicks(settings) / Ticks.PER_MILLISECOND + MARGIN_MILLIS;
    }

    /** Returns the longest time that a request may take after a drain has begun. */
    private static long maxDrainTicks(FrontSettings settings) {
        return settings.decisionSettings().longestTimeoutTicks()
                + settings.ingress().maxDrainTicks();
    }

    @Override
    public void run() {
        node.drain();
        try {
            node.termination().get(maxWaitMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            System.err.println("laurelkeel: the front did not terminate within the expected drain time: " + e);
        }
        RateLimitedAsyncAppender.flush(Cli.LOG_FLUSH_MILLIS);
    }
}
