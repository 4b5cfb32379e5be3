package laurelkeel.audit;

/** One broken rule: which, when (host clock, tenths of a millisecond), on which req ("-" where none), and how. */
public record RuleViolation(int ruleNumber, long timeTicks, String requestId, String description) {}
