package laurelkeel.front;

import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.ClientState;
import laurelkeel.front.ingress.EnumCounts;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs a front node's totals once a minute and at its shutdown. */
final class TotalsLogger {
    private static final Logger LOG = LoggerFactory.getLogger(TotalsLogger.class);
    private static final long INTERVAL_TICKS = 60 * Ticks.PER_SECOND;

    private final NodeComponents components;
    private final EventLoop loop;
    private final RequestTotals totals;
    private final EnumCounts<ClientState> attemptsByClientState;

    TotalsLogger(NodeComponents components, RequestTotals totals, EnumCounts<ClientState> attemptsByClientState) {
        this.components = components;
        this.totals = totals;
        this.attemptsByClientState = attemptsByClientState;
        loop = components.loop();
    }

    /** Starts logging; the first line follows one interval after the loop's first turn. Thread-safe. */
    void start() {
        loop.post(this::schedule);
    }

    private void schedule() {
        loop.schedule(loop.nowTicks() + INTERVAL_TICKS, this::logRepeatedly);
    }

    private void logRepeatedly() {
        schedule();
        log();
    }

    /** Logs the totals since the node's start. */
    void log() {
        LOG.info(
                "totals: {}, attempts asked for by client {}, client connections {}, input held {} bytes, closed {}, failed accepts {}, endpoint connections {}, "
                        + "failed tasks {}",
                totals,
                attemptsByClientState,
                components.ingress().openConnections(),
                components.ingress().readAheadBytes(),
                components.ingress().closedConnections(),
                components.ingress().failedAccepts(),
                components.pools().openConnections(),
                loop.failedTasks());
    }
}
