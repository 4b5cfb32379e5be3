package laurelkeel.audit;

import java.util.List;

/**
 * The verdict on one rule.
 *
 * @param name what the rule asks for, as in reports
 * @param checkedCount how many moments could have violated the rule; 0 means that the records say nothing on it
 * @param nearestShare the closest approach to the rule's limit, as a share of the limit; above 1 it is exceeded
 * @param nearestDescription that approach as text; "-" where there was none
 */
public record RuleVerdict(
        int ruleNumber,
        String name,
        long checkedCount,
        double nearestShare,
        String nearestDescription,
        List<RuleViolation> violations) {
    /** Whether nothing violated the rule. */
    public boolean isKept() {
        return violations.isEmpty();
    }
}
