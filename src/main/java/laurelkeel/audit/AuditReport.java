package laurelkeel.audit;

import java.util.List;

/**
 * The result of an audit.
 *
 * @param verdicts of all rules, by number
 * @param requestCount requests that clients sent
 * @param unansweredCount requests that were owed a response and got none
 */
public record AuditReport(List<RuleVerdict> verdicts, long requestCount, long unansweredCount) {
    /** How many rules were kept. */
    public long rulesKept() {
        return verdicts.stream().filter(RuleVerdict::isKept).count();
    }

    /** The violations of all rules, by rule. */
    public List<RuleViolation> violations() {
        return verdicts.stream()
                .flatMap(verdict -> verdict.violations().stream())
                .toList();
    }
}
