package laurelkeel.soak;

/** Checks the nodes' processes for unrequested exits, memory and file descriptors; runs on a thread of its own. */
final class ProcessWatch implements DaemonThreads.Task {
    private static final int INTERVAL_MILLIS = 100;
    /** The number of file descriptors that must stay free at all times. */
    private static final int MIN_FREE_DESCRIPTORS = 8;

    private final NodeController nodes;
    private final RunMonitor monitor;

    ProcessWatch(NodeController nodes, RunMonitor monitor) {
        this.nodes = nodes;
        this.monitor = monitor;
    }

    @Override
    public void run() throws InterruptedException {
        while (true) {
            Thread.sleep(INTERVAL_MILLIS);
            for (NodeInstance instance : nodes.instances()) {
                monitor.lateness().record(instance.starvedSeconds());
                if (!instance.isEndRequested()) {
                    check(instance);
                }
            }
        }
    }

    private void check(NodeInstance instance) {
        NodeProcess process = instance.process();
        ViolationLog violations = monitor.violations();
        if (!process.isAlive() && !instance.isEndRequested()) {
            instance.markEnded();
            violations.add(
                    SoakRule.EXIT,
                    instance.name() + " exited unexpectedly at an age of " + process.ageMillis() + " ms");
        }
        if (process.peakMemoryMegabytes() > NodeController.MEMORY_MEGABYTES) {
            violations.add(SoakRule.MEMORY, instance.name() + " used " + process.peakMemoryMegabytes() + " MB");
        }
        int descriptors = process.openDescriptors();
        if (descriptors > NodeController.MAX_DESCRIPTORS - MIN_FREE_DESCRIPTORS) {
            violations.add(
                    SoakRule.DESCRIPTORS,
                    instance.name() + " had open descriptors: " + descriptors + " of "
                            + NodeController.MAX_DESCRIPTORS);
        }
    }
}
