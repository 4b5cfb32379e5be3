package laurelkeel.decision;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import java.util.zip.CRC32;

/**
 * Which machines of a build one front asks in turn where there are far more than its traffic needs: a connection that is made
 * for one request in many seconds costs more than it serves. All fronts see the machines on one ring, by a hash of their ids,
 * and each begins at a point of its own, so that together they ask all machines about alike. A machine under suspicion gives its
 * place to the next one. While answers wait at machines the rotation widens, in the end to all of them.
 */
final class EndpointSubset {
    /** Fewer machines than this are all asked; so many near ones, and as many far ones. */
    static final int LEAST = 64;

    private static final int MACHINES_A_REQUEST = 8;
    /** How much the last second says of the requests out. */
    private static final double OF_LATE = 0.2;

    private static final double WIDER = 1.5;
    private static final double NARROWER = 0.95;
    /** Chosen anew where the size has changed by this part of it. */
    private static final double NOTABLE = 0.125;
    /** A machine that is asked already counts as so much nearer on the ring. */
    private static final double STAYS = 0.5;

    private final double start;
    private double meanOpen;
    private double size = LEAST;
    private double chosen = LEAST;

    /**
     * @param self the front's number, from 0
     * @param fronts how many there are
     */
    EndpointSubset(int self, int fronts) {
        start = (double) Math.floorMod(self, Math.max(1, fronts)) / Math.max(1, fronts);
    }

    /** A machine's place on the ring, from 0 to 1. */
    static double placeOf(String id) {
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        // CRC32 is linear: unmixed, ids that are counted up would stand in runs
        long mixed = (crc.getValue() + 0x632BE59BD9B4E019L) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 32) * 0xD6E8FEB86659FD93L;
        return ((mixed ^ mixed >>> 29) >>> 11) * 0x1.0p-53;
    }

    /**
     * To be told once a second; true where the machines are to be chosen anew.
     *
     * @param open this front's requests that are out at machines
     * @param waiting answers wait at machines
     * @param most machines of the largest build
     */
    boolean adapt(int open, boolean waiting, int most) {
        meanOpen += (open - meanOpen) * OF_LATE;
        double needed = Math.max(LEAST, MACHINES_A_REQUEST * meanOpen);
        double wanted = waiting ? size * WIDER : size * NARROWER;
        size = Math.max(needed, Math.min(wanted, Math.max(LEAST, most)));
        boolean notable = Math.abs(size - chosen) > NOTABLE * chosen;
        chosen = notable ? size : chosen;
        return notable;
    }

    /**
     * The indices of the machines to ask, ascending.
     *
     * @param places of all machines on the ring
     * @param near whether a machine is asked without a crossing
     * @param suspect whether it is passed over while there are others
     * @param asked whether it is in the rotation so far: connections to it are open
     */
    int[] choose(double[] places, boolean[] near, boolean[] suspect, boolean[] asked) {
        int each = (int) chosen;
        if (places.length <= each) {
            return IntStream.range(0, places.length).toArray();
        }
        Integer[] inTurn = IntStream.range(0, places.length).boxed().toArray(Integer[]::new);
        Arrays.sort(
                inTurn,
                Comparator.comparing((Integer i) -> suspect[i])
                        .thenComparingDouble(i -> fromStart(places[i]) * (asked[i] ? STAYS : 1)));
        IntStream nearOnes = first(each, inTurn, i -> near[i]);
        IntStream farOnes = first(each, inTurn, i -> !near[i]);
        return IntStream.concat(nearOnes, farOnes).sorted().toArray();
    }

    private static IntStream first(int count, Integer[] inTurn, IntPredicate kind) {
        return Arrays.stream(inTurn).mapToInt(i -> i).filter(kind).limit(count);
    }

    private double fromStart(double place) {
        return place >= start ? place - start : place - start + 1;
    }
}
