package laurelkeel.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** What broke a rule in a run, and counts of what was seen; from any thread. */
final class Violations {
    private static final int SHOWN = 20;
    private static final int LATENESS_SECONDS = 4;
    private static final int TICK_MS = 2;

    private final long startedAt = System.nanoTime();
    private final List<String> found = new ArrayList<>();
    private final Map<String, AtomicLong> counts = new ConcurrentHashMap<>();

    private final double[] lateness = new double[LATENESS_SECONDS];
    private double worstLateness;

    /** Measures, until the thread is ended, how late this host lets a thread run: its own lateness is no node's fault. */
    void measureLateness() throws InterruptedException {
        while (true) {
            double before = seconds();
            Thread.sleep(TICK_MS);
            double late = seconds() - before - TICK_MS / 1e3;
            late(late);
        }
    }

    /** This host has been late by so much just now (seconds). */
    synchronized void late(double seconds) {
        int slot = (int) seconds() % LATENESS_SECONDS;
        int next = (slot + 1) % LATENESS_SECONDS;
        lateness[next] = 0;
        lateness[slot] = Math.max(lateness[slot], seconds);
        worstLateness = Math.max(worstLateness, seconds);
    }

    /** The worst of the last seconds. */
    synchronized double lateness() {
        return Arrays.stream(lateness).max().orElse(0);
    }

    /** The worst of the whole run. */
    synchronized double worstLateness() {
        return worstLateness;
    }

    /** Seconds since the run began. */
    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void add(String rule, String what) {
        count("broken: " + rule);
        if (found.size() < SHOWN) {
            found.add(String.format("%.3f s %s: %s", seconds(), rule, what));
        }
    }

    void count(String what) {
        counts.computeIfAbsent(what, key -> new AtomicLong()).incrementAndGet();
    }

    long counted(String what) {
        AtomicLong count = counts.get(what);
        return count == null ? 0 : count.get();
    }

    synchronized List<String> found() {
        return List.copyOf(found);
    }

    Map<String, AtomicLong> counts() {
        return new TreeMap<>(counts);
    }
}
