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

/** The root command, with the exit codes of all commands and the format of log lines. */
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
            "0:all rules kept, or stopped on request",
            "1:failed while running",
            "2:bad arguments or settings",
            "3:a rule was broken"
        })
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class Cli implements Callable<Integer> {
    /** How long a process waits before it exits for its last log lines to be written. */
    static final long LOG_FLUSH_MILLIS = 500;

    static final int FAILED = 1;
    static final int BAD_INPUT = 2;
    static final int RULE_BROKEN = 3;

    /** The system property that names Logback's configuration file. */
    static final String LOG_CONFIGURATION_PROPERTY = "logback.configurationFile";

    /** The formats of log lines, each with its Logback configuration. */
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
            description = "format of log lines on standard error: text, json")
    void setLogFormat(LogFormat format) {
        // Logback reads this property on its first use, which is later
        System.setProperty(LOG_CONFIGURATION_PROPERTY, format.configurationFile);
    }

    /** Runs the command that the arguments name and returns its exit code. */
    static int run(String[] args) {
        CommandLine commandLine = new CommandLine(new Cli()).setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler((failure, command, parsed) -> report(failure));
        int exitCode = commandLine.execute(args);
        RateLimitedAsyncAppender.flush(LOG_FLUSH_MILLIS);
        return exitCode;
    }

    /** Prints why a command failed and returns the exit code. */
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

    /** Lists {@code benchlink} in the help; {@link Main} runs the command without this class. */
    @Command(
            name = "benchlink",
            description =
                    "Runs the deciders of simulated front nodes, over the simulator's protocol on standard input and output.")
    static final class BenchlinkCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            Main.benchlink();
            return 0;
        }
    }

    /** Lists {@code serve} in the help; {@link Main} runs the command without this class. */
    @Command(
            name = "serve",
            description = "Runs one front node of the platform, configured by RELAY_CONFIG (docs/platform.md).")
    static final class ServeCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return NodeLauncher.run(System.getenv());
        }
    }

    /** Lists {@code rehearse} in the help; {@link Main} runs the command without this class. */
    @Command(
            name = "rehearse",
            description = "Runs a front node with stub services, to create the build's class archive.")
    static final class RehearseCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return ClassArchiveTraining.run();
        }
    }
}
