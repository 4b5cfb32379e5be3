package laurelkeel.attribution;

import java.util.ArrayDeque;

/** Whether a second was busy, calm or, where the load hardly changes, either: by the loads of the last minute. */
final class LoadClassifier {
    private static final int KEPT = 60, SMOOTH = 5;
    private static final double CHANGES = 1.15;

    enum Is {
        CALM,
        BUSY,
        EVEN
    }

    private final ArrayDeque<Double> loads = new ArrayDeque<>(), smooth = new ArrayDeque<>();

    Is next(int tries) {
        loads.addLast((double) tries);
        if (loads.size() > SMOOTH) {
            loads.pollFirst();
        }
        double now = loads.stream().mapToDouble(v -> v).average().orElse(0);
        smooth.addLast(now);
        if (smooth.size() > KEPT) {
            smooth.pollFirst();
        }
        double least = smooth.stream().mapToDouble(v -> v).min().orElse(0);
        double most = smooth.stream().mapToDouble(v -> v).max().orElse(0);
        return most < CHANGES * least ? Is.EVEN : now > (least + most) / 2 ? Is.BUSY : Is.CALM;
    }
}
