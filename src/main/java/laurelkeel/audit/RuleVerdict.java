package laurelkeel.audit;

import java.util.List;

/**
 * One rule's verdict.
 *
 * @param checked how many moments could have broken it; 0 means that the records say nothing of it
 * @param nearest the closest approach to its limit, as a share of the limit; over 1 it is broken
 * @param where that approach in words
 */
public record RuleVerdict(
        int ruleNumber,
        String name,
        long checkedCount,
        double nearestShare,
        String nearestDescription,
        List<RuleViolation> violations) {
    public boolean isKept() {
        return violations.isEmpty();
    }
}
