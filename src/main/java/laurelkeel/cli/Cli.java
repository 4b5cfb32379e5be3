package laurelkeel.cli;

import java.util.concurrent.Callable;
import laurelkeel.config.InvalidSettingsException;
import laurelkeel.logging.RateLimitedAsyncAppender;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** All commands, their exit codes, and how logs look. */
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
            "0:held, or ended as asked",
            "1:failed while running",
            "2:bad arguments or settings",
            "3:a rule was broken"
        })
final class Cli implements Callable<Integer> {
    /** What a process waits at its end for its last lines to be read. */
    static final long LOGS_MS = 500;

    static final int FAILED = 1;
    static final int BAD_INPUT = 2;
    static final int RULE_BROKEN = 3;

    enum Logs {
        text,
        json
    }

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--logs",
            scope = ScopeType.INHERIT,
            defaultValue = "text",
            description = "how log lines look on standard error: ${COMPLETION-CANDIDATES}")
    void logs(Logs form) {
        // read by logback at its first use, which comes after this
        System.setProperty("logback.configurationFile", form == Logs.json ? "logback-json.xml" : "logback-text.xml");
    }

    static int run(String[] args) {
        CommandLine line = new CommandLine(new Cli()).setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler((e, cmd, parsed) -> {
            if (e instanceof InvalidSettingsException) {
                System.err.println(e.getMessage());
                return BAD_INPUT;
            }
            System.err.println("laurelkeel: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
            if (!(e instanceof java.io.IOException)) {
                e.printStackTrace();
            }
            return FAILED;
        });
        int code = line.execute(args);
        RateLimitedAsyncAppender.flush(LOGS_MS);
        return code;
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return BAD_INPUT;
    }

    /** Only for the help: Main takes it before. */
    @Command(name = "benchlink", description = "Decides for the bench: its wire on standard input and output.")
    static final class BenchlinkCommand implements Callable<Integer> {
        @Override
        public Integer call() throws java.io.IOException {
            Main.benchlink();
            return 0;
        }
    }

    /** Only for the help: Main takes it before. */
    @Command(
            name = "serve",
            description = "Runs one front node of the platform, set by RELAY_CONFIG (docs/platform.md).")
    static final class ServeCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return NodeLauncher.run(System.getenv());
        }
    }

    /** Only for the help: Main takes it before. */
    @Command(
            name = "rehearse",
            description = "Runs a front node between parties of its own, for the build's class archive.")
    static final class RehearseCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return ClassArchiveTraining.run();
        }
    }
}
