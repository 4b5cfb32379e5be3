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
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Hands lines to the appender within it on a thread of its own, and never makes a caller wait: a standard error that
 * nobody reads would stop the front's only thread. Of alike lines a few a second go out and the rest are counted;
 * what the queue cannot hold is counted; both counts are logged, and stand in the metrics.
 */
public final class RateLimitedAsyncAppender extends UnsynchronizedAppenderBase<ILoggingEvent>
        implements AppenderAttachable<ILoggingEvent> {
    /** Alike lines a second: enough to see that it happens again and again, and to whom. */
    private static final int ALIKE = 5;
    /** A second of many different lines, at a few hundred bytes each. */
    private static final int QUEUE = 2048;
    /** Kinds of lines told apart a second; past them all count as one. */
    private static final int KINDS = 256;

    private static final AtomicLong LEFT_OUT = new AtomicLong();
    private static volatile RateLimitedAsyncAppender started;

    private final AppenderAttachableImpl<ILoggingEvent> within = new AppenderAttachableImpl<>();
    private final ArrayBlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(QUEUE);
    private final Map<String, AtomicInteger> kinds = new ConcurrentHashMap<>();
    private final AtomicLong unread = new AtomicLong();
    private volatile boolean writing;

    /** Lines left out since the start. */
    public static long leftOut() {
        return LEFT_OUT.get();
    }

    /** Waits until what was logged is written, so long at the most: at a process's end. */
    public static void flush(long ms) {
        RateLimitedAsyncAppender s = started;
        long end = System.nanoTime() + ms * 1_000_000;
        while (s != null && (!s.queue.isEmpty() || s.writing) && System.nanoTime() < end) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    @Override
    public void start() {
        super.start();
        Thread t = new Thread(this::write, "logs");
        t.setDaemon(true);
        t.start();
        started = this;
    }

    /** Alike are those of one place in the code; for texts that a decider made, those that differ in numbers only. */
    private static String kind(ILoggingEvent e) {
        String text = e.getMessage();
        return e.getLoggerName() + ": "
                + ("{}".equals(text) ? e.getFormattedMessage().replaceAll("[0-9.]+", "#") : text);
    }

    @Override
    protected void append(ILoggingEvent e) {
        String kind = kind(e);
        AtomicInteger n = kinds.size() < KINDS
                ? kinds.computeIfAbsent(kind, k -> new AtomicInteger())
                : kinds.getOrDefault(kind, kinds.computeIfAbsent("of further kinds", k -> new AtomicInteger()));
        if (n.incrementAndGet() > ALIKE) {
            LEFT_OUT.incrementAndGet();
            return;
        }
        e.prepareForDeferredProcessing();
        if (!queue.offer(e)) {
            unread.incrementAndGet();
            LEFT_OUT.incrementAndGet();
        }
    }

    private void write() {
        long second = System.nanoTime();
        while (true) {
            try {
                ILoggingEvent e = queue.poll(200, TimeUnit.MILLISECONDS);
                writing = true;
                if (e != null) {
                    within.appendLoopOnAppenders(e);
                }
                if (System.nanoTime() - second >= 1_000_000_000L) {
                    second = System.nanoTime();
                    sums();
                }
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                addError("a line could not be written", e);
            } finally {
                writing = false;
            }
        }
    }

    /** What the last second left out. */
    private void sums() {
        for (String kind : kinds.keySet()) {
            int more = kinds.remove(kind).get() - ALIKE;
            if (more > 0) {
                say(more + " more lines like '" + kind + "'");
            }
        }
        long lost = unread.getAndSet(0);
        if (lost > 0) {
            say(lost + " lines were left out: they came faster than they were read");
        }
    }

    private void say(String text) {
        Logger of = ((LoggerContext) getContext()).getLogger(RateLimitedAsyncAppender.class);
        within.appendLoopOnAppenders(
                new LoggingEvent(RateLimitedAsyncAppender.class.getName(), of, Level.WARN, text, null, null));
    }

    @Override
    public void addAppender(Appender<ILoggingEvent> a) {
        within.addAppender(a);
    }

    @Override
    public Iterator<Appender<ILoggingEvent>> iteratorForAppenders() {
        return within.iteratorForAppenders();
    }

    @Override
    public Appender<ILoggingEvent> getAppender(String name) {
        return within.getAppender(name);
    }

    @Override
    public boolean isAttached(Appender<ILoggingEvent> a) {
        return within.isAttached(a);
    }

    @Override
    public void detachAndStopAllAppenders() {
        within.detachAndStopAllAppenders();
    }

    @Override
    public boolean detachAppender(Appender<ILoggingEvent> a) {
        return within.detachAppender(a);
    }

    @Override
    public boolean detachAppender(String name) {
        return within.detachAppender(name);
    }
}
