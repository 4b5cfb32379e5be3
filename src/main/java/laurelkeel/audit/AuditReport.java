package laurelkeel.audit;

import java.util.List;

/** All five verdicts, with how many tries of clients were asked and how many of them have no final answer owed. */
public record AuditReport(List<RuleVerdict> verdicts, long requestCount, long unansweredCount) {
    public long rulesKept() {
        return verdicts.stream().filter(RuleVerdict::isKept).count();
    }

    public List<RuleViolation> violations() {
        return verdicts.stream().flatMap(v -> v.violations().stream()).toList();
    }
}
