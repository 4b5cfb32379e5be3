package laurelkeel.audit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.records.Rec;
import laurelkeel.records.Recorder;

/** Judges the five rules. */
public final class Audit {
    private Audit() {}

    /** @param records by time; see Recorder.readAll */
    public static Judgement judge(List<Rec> records) {
        Traffic traffic = new Traffic(records);
        OneAnswer first = new OneAnswer();
        List<Verdict> verdicts = new ArrayList<>();
        for (Rule r : List.of(first, new NoEffectTwice(), new DrainsKept(), new ColdKept(), new Exposure())) {
            verdicts.add(r.verdict(traffic));
        }
        return new Judgement(verdicts, traffic.reqs.size(), first.unanswered());
    }

    /** All record files of a folder. */
    public static Judgement judge(Path folder) throws IOException {
        return judge(Recorder.readAll(folder));
    }
}
