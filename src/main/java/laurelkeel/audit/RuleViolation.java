package laurelkeel.audit;

/**
 * One violation of a rule.
 *
 * @param timeTicks the time of the violation, in ticks of {@link laurelkeel.records.RecordClock}
 * @param requestId the request concerned
 * @param description what happened
 */
public record RuleViolation(int ruleNumber, long timeTicks, String requestId, String description) {}
