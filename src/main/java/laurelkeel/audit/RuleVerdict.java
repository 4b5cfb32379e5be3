package laurelkeel.audit;

import java.util.List;

/**
 * The verdict on one rule.
 *
 * @param name what the rule requires, as printed in reports
 * @param checkedCount number of cases in which the rule could have been violated; 0 if the records have no such case
 * @param nearestShare the case closest to the rule's limit, as a share of the limit; above 1 the limit is exceeded
 * @param nearestDescription describes that case; "-" if there was none
 */
public record RuleVerdict(
        int ruleNumber,
        String name,
        long checkedCount,
        double nearestShare,
        String nearestDescription,
        List<RuleViolation> violations) {
    /** Returns whether the rule was not violated. */
    public boolean isKept() {
        return violations.isEmpty();
    }
}
