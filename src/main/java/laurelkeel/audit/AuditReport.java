package laurelkeel.audit;

import java.util.List;

/** All five verdicts, with how many tries of clients were asked and how many of them have no final answer owed. */
public record AuditReport(List<RuleVerdict> verdicts, long asked, long unanswered) {
    public long kept() {
        return verdicts.stream().filter(RuleVerdict::kept).count();
    }

    public List<RuleViolation> breaches() {
        return verdicts.stream().flatMap(v -> v.breaches().stream()).toList();
    }
}
