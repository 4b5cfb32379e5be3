package review;

import java.nio.file.Path;

/** Runs a case: exit status 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
abstract class CaseRun {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final long MAX_MILLIS = 115_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Path repository;

    /** Plays the case and returns the exit status. */
    abstract int play() throws Exception;

    /** Runs a case; the arguments are the folder of the case and the root of the repository. */
    static void run(CaseRun run, String[] args) {
        Server.daemon("watchdog", () -> {
            Thread.sleep(MAX_MILLIS);
            System.err.println("the case did not end in time");
            System.exit(COULD_NOT_RUN);
        });
        int status;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            run.repository = Path.of(args[1]).toAbsolutePath().normalize();
            run.record = record;
            record.line("trouble: " + run.trouble);
            status = run.play();
        } catch (Exception | Error e) {
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        System.exit(status);
    }
}
