package laurelkeel.audit;

/**
 * One violation of a rule.
 *
 * @param timeTicks when, in ticks of {@link laurelkeel.records.RecordClock}
 * @param requestId the request that shows it
 * @param description what happened
 */
public record RuleViolation(int ruleNumber, long timeTicks, String requestId, String description) {}
