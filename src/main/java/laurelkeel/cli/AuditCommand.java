package laurelkeel.cli;

import java.io.IOException;
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

/** The command {@code audit}: judges the rules from the records of a day that was played before. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Judges the five rules from the records of a day that was played.")
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class AuditCommand implements Callable<Integer> {
    static final int RULES = 5;

    @Parameters(paramLabel = "DIR", description = "the folder that the day wrote")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        if (!Files.isDirectory(folder)) {
            System.err.println("laurelkeel: " + folder + " is no folder; give the --out of a day");
            return Cli.BAD_INPUT;
        }
        AuditReport report;
        try {
            report = judge();
        } catch (IllegalArgumentException e) {
            System.err.println("laurelkeel: " + folder + ": " + e.getMessage());
            return Cli.BAD_INPUT;
        }
        System.out.print(ScenarioReport.formatVerdicts(report));
        return report.rulesKept() == RULES ? 0 : Cli.RULE_BROKEN;
    }

    private AuditReport judge() throws IOException {
        List<TrafficRecord> records = RecordReader.readAll(folder);
        long lost = lostRecords(records);
        if (lost > 0) {
            System.err.println(
                    "laurelkeel: " + lost + " records did not reach the files; the verdicts are on the rest");
        }
        return Auditor.audit(records);
    }

    private static long lostRecords(List<TrafficRecord> records) {
        return records.stream()
                .mapToLong(each -> each instanceof TrafficRecord.RecordsLost lost ? lost.count() : 0)
                .sum();
    }
}
