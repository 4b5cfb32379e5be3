package laurelkeel.admin;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** Resource usage of this process. */
public final class ProcessMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    private ProcessMetrics() {}

    /** Returns the CPU time that the process has used since its start, in seconds. */
    public static double cpuSeconds() {
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return system.getProcessCpuTime() / NANOS_PER_SECOND;
    }

    /**
     * Returns the number of bytes allocated by the live threads since they started. Allocations of threads that have ended are
     * not included; the event loop and the I/O threads live as long as the process.
     */
    public static double allocatedBytes() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long bytes : threads.getThreadAllocatedBytes(threads.getAllThreadIds())) {
            // -1 if the thread has ended since its ID was read
            sum += Math.max(0, bytes);
        }
        return sum;
    }

    /** Returns the used heap in bytes. */
    public static double heapBytes() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
