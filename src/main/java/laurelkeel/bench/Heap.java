package laurelkeel.bench;

/** The heap of this process. */
final class Heap {
    private static final double BYTES_PER_MEBIBYTE = 1 << 20;

    private Heap() {}

    /** Runs the garbage collector and returns the heap that is still in use, in MiB. */
    static double usedMebibytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MEBIBYTE;
    }
}
