package laurelkeel.audit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.records.RecordReader;
import laurelkeel.records.TrafficRecord;

/** Audits the five rules; thread-safe. */
public final class Auditor {
    private Auditor() {}

    /**
     * Audits records.
     *
     * @param records sorted by time, as {@link RecordReader#readAll} returns them
     * @throws IllegalArgumentException where the records lack what the rules need, as their parameters
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
     * @throws IOException where a file cannot be read
     * @throws IllegalArgumentException as {@link #audit(List)}
     */
    public static AuditReport audit(Path folder) throws IOException {
        return audit(RecordReader.readAll(folder));
    }
}
