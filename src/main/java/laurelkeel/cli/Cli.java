package laurelkeel.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import laurelkeel.config.InvalidSettingsException;
import laurelkeel.logging.RateLimitedAsyncAppender;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The root of all commands, with their exit codes and the form of log lines. */
@Command(
        name = "laurelkeel",
        mixinStandardHelpOptions = true,
        version = "laurelkeel 0.2",
        description = "Shifts traffic between builds while servers are updated.",
        subcommands = {
            FrontCommand.class,
            DayCommand.class,
            StandinCommand.class,
            CheckCommand.class,
            AuditCommand.class,
            BlameCommand.class,
            BenchCommand.class,
            Cli.BenchlinkCommand.class,
            Cli.ServeCommand.class,
            Cli.RehearseCommand.class,
            SoakCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all rules kept, or ended as asked",
            "1:failed while running",
            "2:bad arguments or settings",
            "3:a rule was broken"
        })
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class Cli implements Callable<Integer> {
    /** How long a process waits at its end for its last log lines to be written. */
    static final long LOG_FLUSH_MILLIS = 500;

    static final int FAILED = 1;
    static final int BAD_INPUT = 2;
    static final int RULE_BROKEN = 3;

    /** The system property that names logback's configuration. */
    static final String LOG_CONFIGURATION_PROPERTY = "logback.configurationFile";

    /** The form of log lines, each with its configuration of logback. */
    enum LogFormat {
        TEXT("logback-text.xml"),
        JSON("logback-json.xml");

        final String configurationFile;

        LogFormat(String configurationFile) {
            this.configurationFile = configurationFile;
        }
    }

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--logs",
            scope = ScopeType.INHERIT,
            defaultValue = "text",
            description = "form of log lines on standard error: text, json")
    void logs(LogFormat format) {
        // read by logback at its first use, which comes after this
        System.setProperty(LOG_CONFIGURATION_PROPERTY, format.configurationFile);
    }

    /** Runs the command of a command line and returns its exit code. */
    static int run(String[] args) {
        CommandLine commandLine = new CommandLine(new Cli()).setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler((failure, command, parsed) -> report(failure));
        int exitCode = commandLine.execute(args);
        RateLimitedAsyncAppender.flush(LOG_FLUSH_MILLIS);
        return exitCode;
    }

    /** Prints why a command failed and returns the exit code for that. */
    private static int report(Exception failure) {
        if (failure instanceof InvalidSettingsException) {
            System.err.println(failure.getMessage());
            return BAD_INPUT;
        }
        System.err.println("laurelkeel: " + (failure.getMessage() == null ? failure.toString() : failure.getMessage()));
        if (!(failure instanceof IOException)) {
            failure.printStackTrace();
        }
        return FAILED;
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return BAD_INPUT;
    }

    /** Shows {@code benchlink} in the help; {@link Main} runs it without this class. */
    @Command(name = "benchlink", description = "Decides for the bench: its wire on standard input and output.")
    static final class BenchlinkCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            Main.benchlink();
            return 0;
        }
    }

    /** Shows {@code serve} in the help; {@link Main} runs it without this class. */
    @Command(
            name = "serve",
            description = "Runs one front node of the platform, configured by RELAY_CONFIG (docs/platform.md).")
    static final class ServeCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return NodeLauncher.run(System.getenv());
        }
    }

    /** Shows {@code rehearse} in the help; {@link Main} runs it without this class. */
    @Command(name = "rehearse", description = "Runs a front node between stub services, for the build's class archive.")
    static final class RehearseCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return ClassArchiveTraining.run();
        }
    }
}
