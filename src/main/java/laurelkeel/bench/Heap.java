package laurelkeel.bench;

/** The heap of this process. */
final class Heap {
    private static final double BYTES_PER_MEBIBYTE = 1 << 20;

    private Heap() {}

    /** Collects garbage and returns what is still used, in MiB. */
    static double usedMebibytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MEBIBYTE;
    }
}
