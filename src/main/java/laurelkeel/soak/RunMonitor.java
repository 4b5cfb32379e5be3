package laurelkeel.soak;

/**
 * What the judges of one run share.
 *
 * @param lateness of the host, which explains what would else be violations
 */
record RunMonitor(RunClock clock, HostLateness lateness, ViolationLog violations) {
    static RunMonitor create() {
        RunClock clock = new RunClock();
        return new RunMonitor(clock, new HostLateness(clock), new ViolationLog(clock));
    }
}
