package laurelkeel.admin;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** What this process has used since its start. */
public final class ProcessMetrics {
    private ProcessMetrics() {}

    public static double cpuSeconds() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime() / 1e9;
    }

    /** By the threads that live; those of a front and its sockets stay. */
    public static double allocatedBytes() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long bytes : threads.getThreadAllocatedBytes(threads.getAllThreadIds())) {
            sum += Math.max(0, bytes);
        }
        return sum;
    }

    public static double heapBytes() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
