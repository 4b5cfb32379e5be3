package laurelkeel.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RateLimitedAsyncAppenderTest {
    private final List<String> written = new CopyOnWriteArrayList<>();
    private final CountDownLatch unblocked = new CountDownLatch(1);
    private final LoggerContext context = new LoggerContext();
    private final Logger log = context.getLogger("front");

    private void start(boolean blocked) {
        AppenderBase<ILoggingEvent> target = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                try {
                    if (blocked) {
                        unblocked.await();
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                written.add(event.getFormattedMessage());
            }
        };
        context.setMDCAdapter(new LogbackMDCAdapter());
        target.setContext(context);
        target.start();
        RateLimitedAsyncAppender appender = new RateLimitedAsyncAppender();
        appender.setContext(context);
        appender.addAppender(target);
        appender.start();
        log.addAppender(appender);
    }

    private void await(String regex) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (written.stream().noneMatch(w -> w.matches(regex))) {
            assertTrue(System.nanoTime() < end, regex + " not in " + written);
            Thread.sleep(5);
        }
    }

    @Test
    void aFewSimilarLinesAreWrittenAndTheOthersAreCounted() throws Exception {
        start(false);
        long before = RateLimitedAsyncAppender.suppressedLines();
        for (int i = 0; i < 1000; i++) {
            log.error("request {} timed out", i);
            log.info("{}", "build 7 stage 0 TRIAL, pace " + i / 7.0);
        }
        log.warn("something else");
        await("something else");
        await("\\d+ more lines of kind 'front: request \\{} timed out' were suppressed");
        await("\\d+ more lines of kind 'front: build # stage # TRIAL, pace #' were suppressed");
        long writtenLines =
                written.stream().filter(w -> w.endsWith("timed out")).count();
        assertTrue(writtenLines >= 5 && writtenLines < 100, "lines written: " + writtenLines);
        long reported = written.stream()
                .filter(w -> w.contains(" more lines of kind "))
                .mapToLong(w -> Long.parseLong(w.substring(0, w.indexOf(' '))))
                .sum();
        assertEquals(
                RateLimitedAsyncAppender.suppressedLines() - before, reported, "all suppressed lines are reported");
    }

    @Test
    void loggingDoesNotBlockOnASlowTargetAndDroppedLinesAreReported() throws Exception {
        start(true);
        for (int i = 0; i < 100_000; i++) {
            // every line is of a different kind
            log.info("line " + (char) ('a' + i % 26) + (char) ('a' + i / 26 % 26) + i);
        }
        unblocked.countDown();
        await("\\d+ lines were dropped: .*|\\d+ more lines of kind 'other' were suppressed");
    }
}
