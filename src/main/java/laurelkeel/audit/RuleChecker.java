package laurelkeel.audit;

import java.util.ArrayList;
import java.util.List;

/** What a rule's judge gathers while it looks. */
abstract class RuleChecker {
    /** Between processes of one host a moment is seen this much apart: queues of sockets and of the scheduler. */
    static final long EDGE = 500;

    private final int number;
    private final String name;
    private final List<RuleViolation> breaches = new ArrayList<>();
    private long checked;
    private double nearest;
    private String where = "-";

    RuleChecker(int number, String name) {
        this.number = number;
        this.name = name;
    }

    abstract void judge(RecordedTraffic traffic);

    void breach(long t, String req, String what) {
        breaches.add(new RuleViolation(number, t, req, what));
    }

    void near(double share, String how) {
        checked++;
        if (share > nearest) {
            nearest = share;
            where = how;
        }
    }

    RuleVerdict verdict(RecordedTraffic traffic) {
        judge(traffic);
        return new RuleVerdict(number, name, checked, nearest, where, List.copyOf(breaches));
    }

    static String ms(long tenths) {
        return String.format(java.util.Locale.ROOT, "%.1f ms", tenths / 10.0);
    }
}
