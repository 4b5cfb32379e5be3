package laurelkeel.audit;

import java.util.List;

/**
 * The result of an audit.
 *
 * @param verdicts the verdicts on all rules, ordered by rule number
 * @param requestCount number of requests that clients sent
 * @param unansweredCount number of requests that required a response and received none
 */
public record AuditReport(List<RuleVerdict> verdicts, long requestCount, long unansweredCount) {
    /** Returns the number of rules that were not violated. */
    public long rulesKept() {
        return verdicts.stream().filter(RuleVerdict::isKept).count();
    }

    /** Returns the violations of all rules, grouped by rule. */
    public List<RuleViolation> violations() {
        return verdicts.stream()
                .flatMap(verdict -> verdict.violations().stream())
                .toList();
    }
}
