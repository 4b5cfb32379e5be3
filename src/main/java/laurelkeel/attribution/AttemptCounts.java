package laurelkeel.attribution;

/** Sums over attempts: how many there were, how many went wrong, and their latencies. Not thread-safe. */
final class AttemptCounts {
    private int attempts;
    private int failed;
    private int unanswered;
    private int wrong;
    private int timedAttempts;
    private double logLatencySum;

    void add(NodeReport.Cell cell) {
        attempts += cell.tries();
        failed += cell.fails();
        unanswered += cell.silent();
        wrong += cell.wrongs();
        timedAttempts += cell.rated();
        logLatencySum += cell.logTime();
    }

    void add(AttemptCounts other) {
        attempts += other.attempts;
        failed += other.failed;
        unanswered += other.unanswered;
        wrong += other.wrong;
        timedAttempts += other.timedAttempts;
        logLatencySum += other.logLatencySum;
    }

    void subtract(AttemptCounts other) {
        attempts -= other.attempts;
        failed -= other.failed;
        unanswered -= other.unanswered;
        wrong -= other.wrong;
        timedAttempts -= other.timedAttempts;
        logLatencySum -= other.logLatencySum;
    }

    int attempts() {
        return attempts;
    }

    int count(BadOutcome kind) {
        return switch (kind) {
            case FAILED -> failed;
            case UNANSWERED -> unanswered;
            case WRONG -> wrong;
        };
    }

    /** Share of the attempts that went wrong in one way. */
    double share(BadOutcome kind) {
        return count(kind) / (double) attempts;
    }

    /** How many answers were errors or complained of. */
    int badAnswers() {
        return failed + wrong;
    }

    /** Share of the attempts whose answers were errors or complained of; 0 where there are no attempts. */
    double badAnswerShare() {
        return attempts == 0 ? 0 : badAnswers() / (double) attempts;
    }

    /** How many attempts have a latency that counts. */
    int timedAttempts() {
        return timedAttempts;
    }

    /** Sum of the natural logarithms of those latencies in milliseconds. */
    double logLatencySum() {
        return logLatencySum;
    }
}
