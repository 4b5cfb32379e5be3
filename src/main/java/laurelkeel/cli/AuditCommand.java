package laurelkeel.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import laurelkeel.audit.AuditReport;
import laurelkeel.audit.Auditor;
import laurelkeel.records.RecordReader;
import laurelkeel.records.TrafficRecord;
import laurelkeel.scenario.ScenarioReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Judges the five rules from the records of a day that was played.")
final class AuditCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "the folder that the day wrote")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        if (!Files.isDirectory(folder)) {
            System.err.println("laurelkeel: " + folder + " is no folder; give the --out of a day");
            return Cli.BAD_INPUT;
        }
        AuditReport j;
        try {
            List<TrafficRecord> records = RecordReader.readAll(folder);
            long lost = records.stream()
                    .mapToLong(r -> r instanceof TrafficRecord.RecordsLost l ? l.count() : 0)
                    .sum();
            if (lost > 0) {
                System.err.println(
                        "laurelkeel: " + lost + " records did not reach the files; the verdicts are on the rest");
            }
            j = Auditor.audit(records);
        } catch (IllegalArgumentException e) {
            System.err.println("laurelkeel: " + folder + ": " + e.getMessage());
            return Cli.BAD_INPUT;
        }
        System.out.print(ScenarioReport.formatVerdicts(j));
        return j.rulesKept() == 5 ? 0 : Cli.RULE_BROKEN;
    }
}
