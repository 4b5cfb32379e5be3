package laurelkeel.audit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.records.RecordReader;
import laurelkeel.records.TrafficRecord;

/** Judges the five rules. */
public final class Auditor {
    private Auditor() {}

    /** @param records by time; see Recorder.readAll */
    public static AuditReport audit(List<TrafficRecord> records) {
        RecordedTraffic traffic = new RecordedTraffic(records);
        SingleAnswerRule first = new SingleAnswerRule();
        List<RuleVerdict> verdicts = new ArrayList<>();
        for (RuleChecker r :
                List.of(first, new SingleEffectRule(), new DrainRule(), new WarmUpRule(), new ExposureRule())) {
            verdicts.add(r.verdict(traffic));
        }
        return new AuditReport(verdicts, traffic.reqs.size(), first.unanswered());
    }

    /** All record files of a folder. */
    public static AuditReport audit(Path folder) throws IOException {
        return audit(RecordReader.readAll(folder));
    }
}
