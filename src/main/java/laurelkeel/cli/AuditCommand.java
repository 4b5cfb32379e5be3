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

/** The command {@code audit}: checks the rules against the records of an earlier run of the command {@code day}. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Checks the five rules against the records of an earlier day.")
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class AuditCommand implements Callable<Integer> {
    static final int RULE_COUNT = 5;

    @Parameters(paramLabel = "DIR", description = "the folder that the day wrote its records to")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        if (!Files.isDirectory(folder)) {
            System.err.println("laurelkeel: " + folder + " is not a folder; expected the --out folder of a day");
            return Cli.BAD_INPUT;
        }
        AuditReport report;
        try {
            report = audit();
        } catch (IllegalArgumentException e) {
            System.err.println("laurelkeel: " + folder + ": " + e.getMessage());
            return Cli.BAD_INPUT;
        }
        System.out.print(ScenarioReport.formatVerdicts(report));
        return report.rulesKept() == RULE_COUNT ? 0 : Cli.RULE_BROKEN;
    }

    private AuditReport audit() throws IOException {
        List<TrafficRecord> records = RecordReader.readAll(folder);
        long lost = lostRecords(records);
        if (lost > 0) {
            System.err.println("laurelkeel: " + lost
                    + " records were lost and are missing from the files; the verdicts cover only the others");
        }
        return Auditor.audit(records);
    }

    private static long lostRecords(List<TrafficRecord> records) {
        return records.stream()
                .mapToLong(each -> each instanceof TrafficRecord.RecordsLost lost ? lost.count() : 0)
                .sum();
    }
}
