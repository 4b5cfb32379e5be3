package laurelkeel.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Action.CastVote;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Ticks;
import laurelkeel.platform.ControlServiceMessage.Complaint;
import laurelkeel.platform.ControlServiceMessage.Heartbeat;
import laurelkeel.platform.ControlServiceMessage.Metrics;
import laurelkeel.platform.ControlServiceMessage.Notification;
import laurelkeel.platform.ControlServiceMessage.Progress;
import laurelkeel.platform.ControlServiceMessage.SubscriptionAccepted;
import laurelkeel.platform.ControlServiceMessage.VoteAccepted;
import laurelkeel.platform.ControlServiceMessage.VoteRejected;
import laurelkeel.platform.ControlServiceMessage.VoteReply;
import laurelkeel.text.DecimalNumbers;
import org.jspecify.annotations.Nullable;

/**
 * The text protocol of the control service. Encodes commands and parses lines into typed messages.
 *
 * <p>A line consists of words separated by single spaces and ends with CRLF. All names of the protocol are defined
 * here. Thread-safe.
 */
final class ControlServiceProtocol {
    /** Maximum length of a line in either direction, in bytes. */
    static final int MAX_LINE_BYTES = 8 << 10;

    static final String SUBSCRIBE = "SUB";
    static final String VOTE = "SAY";
    static final String ACCEPTED = "OK";
    static final String REJECTED = "ERR";
    static final String NOTIFICATION = "*";
    static final String PROGRESS = "progress";
    static final String METRICS = "metrics";
    static final String COMPLAINT = "complaint";

    static final String BUILD = "build";
    static final String STAGE = "stage";
    static final String PHASE = "phase";
    static final String CAP = "cap";
    static final String AGE_MS = "age_ms";
    static final String ROUTE = "class";
    static final String ATTEMPTS = "count";
    static final String FAILURES = "failed";
    static final String MEAN_MS = "mean_ms";

    private static final String LINE_END = "\r\n";
    private static final int STATE_FIELDS = 5;
    private static final int METRICS_FIELDS = 6;

    private static final Map<String, RolloutPhase> PHASES = Map.of(
            "Progressing", RolloutPhase.CANARY,
            "Aborting", RolloutPhase.ROLLING_BACK,
            "Healthy", RolloutPhase.RELEASED,
            "Aborted", RolloutPhase.ROLLED_BACK);

    private static final Map<Verdict, String> VERDICTS = Map.of(
            Verdict.NONE, "clear",
            Verdict.PROMOTE, "approve",
            Verdict.HOLD, "wait",
            Verdict.ROLL_BACK, "reject");

    private static final Map<String, ControlStatus> REJECTIONS = Map.of(
            "too_many_calls", ControlStatus.RATE_LIMITED,
            "out_of_date", ControlStatus.STALE,
            "unavailable", ControlStatus.FAILED,
            "bad_request", ControlStatus.FAILED);

    private ControlServiceProtocol() {}

    /** Returns the command that subscribes its connection to notifications. */
    static byte[] encodeSubscribe() {
        return encode(SUBSCRIBE);
    }

    /** Returns the command that votes on a build. */
    static byte[] encodeVote(CastVote vote) {
        return encode(VOTE + " " + vote.build() + " " + vote.stage() + " " + VERDICTS.get(vote.verdict()));
    }

    private static byte[] encode(String line) {
        return (line + LINE_END).getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns the phase of this name; null if there is none. */
    static @Nullable RolloutPhase phase(String name) {
        return PHASES.get(name);
    }

    /** Returns whether a line is a notification; notifications may arrive between the replies to commands. */
    static boolean isNotification(String line) {
        return line.startsWith(NOTIFICATION);
    }

    /** Parses a line from a connection that has subscribed. */
    static Notification parseNotification(String line) throws MalformedMessageException {
        if (line.equals(ACCEPTED)) {
            return new SubscriptionAccepted();
        }
        if (line.equals(NOTIFICATION)) {
            return new Heartbeat();
        }
        List<String> words = splitWords(line);
        if (words.get(0).equals(NOTIFICATION)) {
            String kind = words.get(1);
            List<String> fields = words.subList(2, words.size());
            if (kind.equals(PROGRESS) && fields.size() == STATE_FIELDS) {
                return new Progress(parseState(fields));
            }
            if (kind.equals(METRICS) && fields.size() == METRICS_FIELDS) {
                return parseMetrics(fields);
            }
            if (kind.equals(COMPLAINT)) {
                return new Complaint();
            }
        }
        throw new MalformedMessageException(
                "notification", MalformedMessageException.excerpt(line) + " has an unknown format");
    }

    /** Parses the reply to a vote. */
    static VoteReply parseVoteReply(String line) throws MalformedMessageException {
        List<String> words = splitWords(line);
        String kind = words.get(0);
        List<String> fields = words.subList(1, words.size());
        if (kind.equals(ACCEPTED) && fields.size() == STATE_FIELDS) {
            return new VoteAccepted(parseState(fields));
        }
        ControlStatus rejection = kind.equals(REJECTED) && fields.size() == 1 ? REJECTIONS.get(fields.get(0)) : null;
        if (rejection == null) {
            throw new MalformedMessageException(
                    "reply", MalformedMessageException.excerpt(line) + " has an unknown format");
        }
        return new VoteRejected(rejection);
    }

    private static List<String> splitWords(String line) {
        return List.of(line.split(" ", -1));
    }

    private static ReportedRollout parseState(List<String> fields) throws MalformedMessageException {
        int build = parseNonNegativeInteger(BUILD, fields.get(0));
        int stage = parseNonNegativeInteger(STAGE, fields.get(1));
        RolloutPhase phase = phase(fields.get(2));
        if (phase == null) {
            throw new MalformedMessageException(
                    PHASE, MalformedMessageException.excerpt(fields.get(2)) + " is unknown");
        }
        double cap = parseNonNegativeNumber(CAP, fields.get(3));
        if (cap > 1) {
            throw new MalformedMessageException(CAP, cap + " is above 1");
        }
        return new ReportedRollout(
                build, stage, phase, cap, millisToTicks(parseNonNegativeNumber(AGE_MS, fields.get(4))));
    }

    private static Metrics parseMetrics(List<String> fields) throws MalformedMessageException {
        return new Metrics(
                parseNonNegativeInteger(BUILD, fields.get(0)),
                fields.get(1),
                parseNonNegativeInteger(ATTEMPTS, fields.get(2)),
                parseNonNegativeInteger(FAILURES, fields.get(3)),
                millisToTicks(parseNonNegativeNumber(MEAN_MS, fields.get(4))),
                millisToTicks(parseNonNegativeNumber(AGE_MS, fields.get(5))));
    }

    /** Converts milliseconds to ticks, rounded towards 0. */
    static long millisToTicks(double millis) {
        return (long) (millis * Ticks.PER_MILLISECOND);
    }

    private static int parseNonNegativeInteger(String field, String text) throws MalformedMessageException {
        try {
            int value = DecimalNumbers.parseInt(text);
            if (value >= 0) {
                return value;
            }
        } catch (NumberFormatException ignored) {
            // reported below
        }
        throw new MalformedMessageException(
                field, MalformedMessageException.excerpt(text) + " is not a non-negative integer");
    }

    private static double parseNonNegativeNumber(String field, String text) throws MalformedMessageException {
        try {
            double value = DecimalNumbers.parse(text);
            if (value >= 0) {
                return value;
            }
        } catch (NumberFormatException ignored) {
            // reported below
        }
        throw new MalformedMessageException(
                field, MalformedMessageException.excerpt(text) + " is not a non-negative number");
    }
}
