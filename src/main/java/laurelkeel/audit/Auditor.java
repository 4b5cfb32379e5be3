package laurelkeel.audit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.records.RecordReader;
import laurelkeel.records.TrafficRecord;

/** Checks records against the five traffic rules. Thread-safe. */
public final class Auditor {
    private Auditor() {}

    /**
     * Audits records.
     *
     * @param records sorted by time, as {@link RecordReader#readAll} returns them
     * @throws IllegalArgumentException if the records lack something that the rules need, for example their parameters
     */
    public static AuditReport audit(List<TrafficRecord> records) {
        RecordedTraffic traffic = new RecordedTraffic(records);
        SingleAnswerRule singleAnswer = new SingleAnswerRule();
        List<RuleChecker> rules =
                List.of(singleAnswer, new SingleEffectRule(), new DrainRule(), new WarmUpRule(), new ExposureRule());
        List<RuleVerdict> verdicts = new ArrayList<>();
        for (RuleChecker rule : rules) {
            verdicts.add(rule.verdict(traffic));
        }
        return new AuditReport(verdicts, traffic.requests().size(), singleAnswer.unansweredCount());
    }

    /**
     * Audits all record files of a folder.
     *
     * @throws IOException if a file cannot be read
     * @throws IllegalArgumentException as for {@link #audit(List)}
     */
    public static AuditReport audit(Path folder) throws IOException {
        return audit(RecordReader.readAll(folder));
    }
}
