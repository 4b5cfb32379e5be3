package laurelkeel.soak;

import java.util.List;
import java.util.Random;

/** Generates the system faults of all nodes of a run, in the format of faults.c. */
final class SystemFaults {
    /** The clock steps forward or backward by an hour or by 5 s. */
    private static final List<Long> CLOCK_OFFSETS_MILLIS = List.of(3_600_000L, -3_600_000L, 5_000L, -5_000L);

    private static final int MIN_STEP_MILLIS = 500;
    private static final int HALF_SECOND_MILLIS = 500;
    private static final int MIN_START_MILLIS = 1_000;
    private static final int START_SPREAD_MILLIS = 2_000;
    private static final int MIN_DURATION_MILLIS = 500;
    private static final int DURATION_SPREAD_MILLIS = 3_000;
    /** Represents a transfer of only one byte, in place of an error number. */
    private static final int SHORT_TRANSFER = 0;

    private static final String READ = "read";
    private static final int EINTR = 4;
    private static final int EIO = 5;
    private static final int ENFILE = 23;
    private static final int EMFILE = 24;
    private static final int EADDRNOTAVAIL = 99;
    private static final int ENETUNREACH = 101;
    private static final int ECONNABORTED = 103;
    private static final int ENOBUFS = 105;
    private static final int ETIMEDOUT = 110;
    private static final int EHOSTUNREACH = 113;

    /**
     * A system call that can fail.
     *
     * @param name the name of the call in faults.c
     * @param errors Linux error numbers that can occur temporarily, or {@link #SHORT_TRANSFER}
     * @param percent the percentage of calls that fail
     */
    private record FailingCall(String name, List<Integer> errors, int percent) {}

    /**
     * The calls that may fail. The errors of accept do not include EMFILE: it means that the process is at its own limit,
     * and MINA waits for 50 ms after it. Reads fail rarely, because each failure breaks a connection that has requests in
     * flight, which is not the fault of a node.
     */
    private static final List<FailingCall> CALLS = List.of(
            new FailingCall("accept", List.of(ECONNABORTED, ENFILE, ENOBUFS), 40),
            new FailingCall("connect", List.of(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS), 30),
            new FailingCall("open", List.of(ENFILE, EMFILE, EIO), 60),
            new FailingCall(READ, List.of(SHORT_TRANSFER, ETIMEDOUT, EHOSTUNREACH), 5),
            new FailingCall("socket", List.of(ENFILE, EMFILE, ENOBUFS), 30),
            new FailingCall("wait", List.of(EINTR), 20),
            new FailingCall("write", List.of(SHORT_TRANSFER), 20));

    private SystemFaults() {}

    /** Generates two steps of the wall clock, one for each half of a run. */
    static String generateClockSteps(Random random, int seconds) {
        int halfMillis = seconds * HALF_SECOND_MILLIS;
        String first = (MIN_STEP_MILLIS + random.nextInt(halfMillis)) + ":" + nextOffsetMillis(random);
        String second = (halfMillis + random.nextInt(halfMillis)) + ":" + nextOffsetMillis(random);
        return first + "," + second;
    }

    private static long nextOffsetMillis(Random random) {
        return CLOCK_OFFSETS_MILLIS.get(random.nextInt(CLOCK_OFFSETS_MILLIS.size()));
    }

    /**
     * A system call that fails for a limited time.
     *
     * @param text the fault in the format of faults.c: call, error, start and duration in milliseconds, percent
     * @param breaksConnections whether the fault breaks connections that have requests in flight
     */
    record CallFaults(String text, boolean breaksConnections) {
        static final CallFaults NONE = new CallFaults("", false);
    }

    /** Generates a call that fails, with its error, start and duration. */
    static CallFaults generateCallFaults(Random random) {
        FailingCall call = CALLS.get(random.nextInt(CALLS.size()));
        int error = call.errors.get(random.nextInt(call.errors.size()));
        int startMillis = MIN_START_MILLIS + random.nextInt(START_SPREAD_MILLIS);
        int durationMillis = MIN_DURATION_MILLIS + random.nextInt(DURATION_SPREAD_MILLIS);
        return new CallFaults(
                call.name + ":" + error + ":" + startMillis + ":" + durationMillis + ":" + call.percent,
                call.name.equals(READ) && error != SHORT_TRANSFER);
    }
}
