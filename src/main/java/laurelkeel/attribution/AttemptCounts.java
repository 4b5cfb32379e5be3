package laurelkeel.attribution;

/** Sums over a group of attempts: their number, their bad outcomes and their latencies. Not thread-safe. */
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

    /** Returns the number of attempts with a bad outcome of one kind. */
    int count(BadOutcome kind) {
        return switch (kind) {
            case FAILED -> failed;
            case UNANSWERED -> unanswered;
            case WRONG -> wrong;
        };
    }

    /** Returns the share of the attempts with a bad outcome of one kind; NaN if there are no attempts. */
    double share(BadOutcome kind) {
        return count(kind) / (double) attempts;
    }

    /** Returns the number of answers that were errors or that clients complained about. */
    int badAnswers() {
        return failed + wrong;
    }

    /**
     * Returns the share of the attempts whose answer was an error or led to a complaint; 0 if there are no attempts.
     */
    double badAnswerShare() {
        return attempts == 0 ? 0 : badAnswers() / (double) attempts;
    }

    /** Returns the number of attempts with a valid latency: completed, at an endpoint that was not warming up. */
    int timedAttempts() {
        return timedAttempts;
    }

    /** Returns the sum of the natural logarithms of those latencies in milliseconds. */
    double logLatencySum() {
        return logLatencySum;
    }
}
