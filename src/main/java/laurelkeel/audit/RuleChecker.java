package laurelkeel.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import laurelkeel.records.RecordClock;

/** Checks one rule and collects the data for its verdict. Not thread-safe; used for one audit only. */
abstract class RuleChecker {
    /** How far two processes of a host may differ on the time of one event, due to socket and scheduler queues. */
    static final long CLOCK_TOLERANCE_TICKS = 500;

    private static final String NO_DESCRIPTION = "-";

    private final int ruleNumber;
    private final String name;
    private final List<RuleViolation> violations = new ArrayList<>();
    private long checkedCount;
    private double nearestShare;
    private String nearestDescription = NO_DESCRIPTION;

    /** @param name what the rule requires, as printed in reports */
    RuleChecker(int ruleNumber, String name) {
        this.ruleNumber = ruleNumber;
        this.name = name;
    }

    /** Checks the rule over all traffic. */
    abstract void check(RecordedTraffic traffic);

    /** Adds a violation. */
    final void addViolation(long timeTicks, String requestId, String description) {
        violations.add(new RuleViolation(ruleNumber, timeTicks, requestId, description));
    }

    /** Counts a case in which the rule could have been violated, without a measure of how close it came. */
    final void countChecked() {
        checkedCount++;
    }

    /**
     * Counts a case in which the rule could have been violated.
     *
     * @param limitShare how close the case came to the rule's limit, as a share of the limit
     */
    final void countChecked(double limitShare, String description) {
        checkedCount++;
        if (limitShare > nearestShare) {
            nearestShare = limitShare;
            nearestDescription = description;
        }
    }

    /** Checks the rule and returns the verdict. */
    final RuleVerdict verdict(RecordedTraffic traffic) {
        check(traffic);
        return new RuleVerdict(
                ruleNumber, name, checkedCount, nearestShare, nearestDescription, List.copyOf(violations));
    }

    /** Formats a duration in milliseconds for descriptions. */
    static String formatMillis(long ticks) {
        return String.format(Locale.ROOT, "%.1f ms", ticks / RecordClock.TICKS_PER_MILLISECOND);
    }
}
