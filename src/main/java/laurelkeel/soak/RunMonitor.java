package laurelkeel.soak;

/**
 * The clock, the lateness of the host and the violations that all checks of one run share.
 *
 * @param lateness of the host, which excuses what would otherwise be violations
 */
record RunMonitor(RunClock clock, HostLateness lateness, ViolationLog violations) {
    static RunMonitor create() {
        RunClock clock = new RunClock();
        return new RunMonitor(clock, new HostLateness(clock), new ViolationLog(clock));
    }
}
