package laurelkeel.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import laurelkeel.audit.AuditReport;
import laurelkeel.scenario.Scenario;
import laurelkeel.scenario.ScenarioRun;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code day}: runs a scripted scenario with real front processes and audits the recorded traffic. */
@Command(
        name = "day",
        mixinStandardHelpOptions = true,
        description = {
            "Runs a scripted day: real front processes among stub services, audited by the traffic on the sockets.",
            "Shipped days: bad-day, lost-answers, cold-returns, stale-news."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all five rules kept",
            "1:the day could not be run",
            "2:bad arguments or day file",
            "3:a rule was broken"
        })
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class DayCommand implements Callable<Integer> {
    @Parameters(
            arity = "0..1",
            paramLabel = "DAY",
            defaultValue = "bad-day",
            description = "a shipped day or a file; docs/day.md explains the format (default: ${DEFAULT-VALUE})")
    private String day;

    @Option(names = "--seed", description = "seed of the day's random numbers; default: the seed in the file")
    private @Nullable Long seed;

    @Option(
            names = "--out",
            defaultValue = "target/day",
            description = "folder for records, logs and the report (default: ${DEFAULT-VALUE})")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = Scenario.find(day);
        AuditReport report = new ScenarioRun(scenario, seed == null ? scenario.seed() : seed, out, System.out).run();
        return report.rulesKept() == AuditCommand.RULE_COUNT ? 0 : Cli.RULE_BROKEN;
    }
}
