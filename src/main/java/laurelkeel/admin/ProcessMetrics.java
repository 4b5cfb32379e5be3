package laurelkeel.admin;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** What this process has used since its start. */
public final class ProcessMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    private ProcessMetrics() {}

    /** Returns the CPU time of the process in seconds. */
    public static double cpuSeconds() {
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return system.getProcessCpuTime() / NANOS_PER_SECOND;
    }

    /** Returns the bytes allocated by the threads that are alive; the event loop and the I/O threads live on. */
    public static double allocatedBytes() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long bytes : threads.getThreadAllocatedBytes(threads.getAllThreadIds())) {
            // -1 for a thread that has ended meanwhile
            sum += Math.max(0, bytes);
        }
        return sum;
    }

    /** Returns the bytes of heap in use. */
    public static double heapBytes() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
