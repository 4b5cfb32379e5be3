package laurelkeel.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.spi.AppenderAttachable;
import ch.qos.logback.core.spi.AppenderAttachableImpl;
import java.util.Iterator;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/**
 * An appender that passes log lines to another appender on its own thread and never blocks a caller. Otherwise a standard error
 * stream that is not read would block the event loop. A few similar lines per second are written. Further ones, and lines that
 * do not fit in the queue, are dropped and counted; the counts are logged and exported as a metric.
 *
 * <p>Thread-safe.
 */
public final class RateLimitedAsyncAppender extends UnsynchronizedAppenderBase<ILoggingEvent>
        implements AppenderAttachable<ILoggingEvent> {
    /** Enough for the lines of a second in which many different ones are logged, at a few hundred bytes each. */
    private static final int QUEUE_CAPACITY = 2048;

    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long POLL_MILLIS = 200;
    private static final long FLUSH_POLL_NANOS = 1_000_000;

    private static final AtomicLong TOTAL_SUPPRESSED = new AtomicLong();
    /** The most recently started appender, which {@link #flush} waits for. */
    private static volatile @Nullable RateLimitedAsyncAppender started;

    private final AppenderAttachableImpl<ILoggingEvent> target = new AppenderAttachableImpl<>();
    private final ArrayBlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final SimilarLineLimiter limiter = new SimilarLineLimiter();
    /** Number of lines dropped since the last report because the queue was full. */
    private final AtomicLong overflowed = new AtomicLong();

    private volatile boolean writing;

    /** Returns the number of lines that were suppressed or dropped since the start of the process. */
    public static long suppressedLines() {
        return TOTAL_SUPPRESSED.get();
    }

    /**
     * Waits until all queued lines are written; called before the process exits.
     *
     * @param maxMillis the maximum time to wait
     */
    public static void flush(long maxMillis) {
        RateLimitedAsyncAppender appender = started;
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
        while (appender != null && appender.hasPendingLines() && System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(FLUSH_POLL_NANOS);
        }
    }

    private boolean hasPendingLines() {
        return !queue.isEmpty() || writing;
    }

    @Override
    public void start() {
        super.start();
        Thread writer = new Thread(this::writeLines, "logs");
        writer.setDaemon(true);
        writer.start();
        started = this;
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (!limiter.tryAcquire(kind(event))) {
            TOTAL_SUPPRESSED.incrementAndGet();
            return;
        }
        event.prepareForDeferredProcessing();
        if (!queue.offer(event)) {
            overflowed.incrementAndGet();
            TOTAL_SUPPRESSED.incrementAndGet();
        }
    }

    /**
     * Returns the kind of a line; lines of the same kind count as similar. The kind is the logger and the message format, or,
     * if the format is only a placeholder, the text with its numbers masked.
     */
    private static String kind(ILoggingEvent event) {
        String format = event.getMessage();
        String text = "{}".equals(format) ? event.getFormattedMessage().replaceAll("[0-9.]+", "#") : format;
        return event.getLoggerName() + ": " + text;
    }

    private void writeLines() {
        long periodStartNanos = System.nanoTime();
        while (true) {
            try {
                ILoggingEvent event = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                writing = true;
                if (event != null) {
                    target.appendLoopOnAppenders(event);
                }
                if (System.nanoTime() - periodStartNanos >= PERIOD_NANOS) {
                    periodStartNanos = System.nanoTime();
                    reportSuppressed();
                }
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                addError("cannot write a log line", e);
            } finally {
                writing = false;
            }
        }
    }

    private void reportSuppressed() {
        for (SimilarLineLimiter.Suppressed suppressed : limiter.endPeriod()) {
            report(suppressed.lines() + " more lines of kind '" + suppressed.kind() + "' were suppressed");
        }
        long lines = overflowed.getAndSet(0);
        if (lines > 0) {
            report(lines + " lines were dropped: they were logged faster than they could be written");
        }
    }

    private void report(String text) {
        Logger logger = ((LoggerContext) getContext()).getLogger(RateLimitedAsyncAppender.class);
        target.appendLoopOnAppenders(
                new LoggingEvent(RateLimitedAsyncAppender.class.getName(), logger, Level.WARN, text, null, null));
    }

    @Override
    public void addAppender(Appender<ILoggingEvent> appender) {
        target.addAppender(appender);
    }

    @Override
    public Iterator<Appender<ILoggingEvent>> iteratorForAppenders() {
        return target.iteratorForAppenders();
    }

    @Override
    public Appender<ILoggingEvent> getAppender(String name) {
        return target.getAppender(name);
    }

    @Override
    public boolean isAttached(Appender<ILoggingEvent> appender) {
        return target.isAttached(appender);
    }

    @Override
    public void detachAndStopAllAppenders() {
        target.detachAndStopAllAppenders();
    }

    @Override
    public boolean detachAppender(Appender<ILoggingEvent> appender) {
        return target.detachAppender(appender);
    }

    @Override
    public boolean detachAppender(String name) {
        return target.detachAppender(name);
    }
}
