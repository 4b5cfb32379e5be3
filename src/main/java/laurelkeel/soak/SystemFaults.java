package laurelkeel.soak;

import java.util.List;
import java.util.Random;

/** Draws what the library of faults does to all nodes of a run, in the form that faults.c takes. */
final class SystemFaults {
    /** The clock steps forth or back by an hour or by 5 s. */
    private static final List<Long> CLOCK_OFFSETS_MILLIS = List.of(3_600_000L, -3_600_000L, 5_000L, -5_000L);

    private static final int MIN_STEP_MILLIS = 500;
    private static final int HALF_SECOND_MILLIS = 500;
    private static final int MIN_START_MILLIS = 1_000;
    private static final int START_SPREAD_MILLIS = 2_000;
    private static final int MIN_LENGTH_MILLIS = 500;
    private static final int LENGTH_SPREAD_MILLIS = 3_000;
    /** Stands for a transfer of one byte, instead of an error. */
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
     * How a system call may fail.
     *
     * @param name as faults.c has it
     * @param errors Linux's numbers of errors that may come for a moment, or {@link #SHORT_TRANSFER}
     * @param percent how many of a hundred calls fail
     */
    private record FailingCall(String name, List<Integer> errors, int percent) {}

    /**
     * Not EMFILE for accept: it says that a process is at its own limit, and MINA waits for 50 ms there. Reads fail rarely,
     * for each such failure breaks a connection under its requests, which is no fault of a node.
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

    /** Draws two steps of the wall clock, one in each half of a run. */
    static String drawClockSteps(Random random, int seconds) {
        int halfMillis = seconds * HALF_SECOND_MILLIS;
        String first = (MIN_STEP_MILLIS + random.nextInt(halfMillis)) + ":" + drawOffset(random);
        String second = (halfMillis + random.nextInt(halfMillis)) + ":" + drawOffset(random);
        return first + "," + second;
    }

    private static long drawOffset(Random random) {
        return CLOCK_OFFSETS_MILLIS.get(random.nextInt(CLOCK_OFFSETS_MILLIS.size()));
    }

    /**
     * System calls that fail for a while.
     *
     * @param text the form that faults.c takes: call, error, start and length in milliseconds, percent
     * @param breaksConnections whether connections break under their requests
     */
    record CallFaults(String text, boolean breaksConnections) {
        static final CallFaults NONE = new CallFaults("", false);
    }

    /** Draws a call that fails, with its error and its span. */
    static CallFaults drawCallFaults(Random random) {
        FailingCall call = CALLS.get(random.nextInt(CALLS.size()));
        int error = call.errors.get(random.nextInt(call.errors.size()));
        int startMillis = MIN_START_MILLIS + random.nextInt(START_SPREAD_MILLIS);
        int lengthMillis = MIN_LENGTH_MILLIS + random.nextInt(LENGTH_SPREAD_MILLIS);
        return new CallFaults(
                call.name + ":" + error + ":" + startMillis + ":" + lengthMillis + ":" + call.percent,
                call.name.equals(READ) && error != SHORT_TRANSFER);
    }
}
