package laurelkeel.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import laurelkeel.config.IniFile;
import laurelkeel.config.InvalidSettingsException;
import laurelkeel.front.FrontSettings;
import laurelkeel.scenario.Scenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The command {@code check}: validates settings files without starting anything. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = {
            "Validates settings files of front nodes and days without starting anything.",
            "Reports all errors, each with file, line and correction."
        })
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class CheckCommand implements Callable<Integer> {
    /** Only a day file has this section. */
    private static final String DAY_SECTION = "day";

    @Parameters(arity = "1..*", paramLabel = "FILE.ini")
    private List<Path> files;

    @Override
    public Integer call() {
        int exitCode = 0;
        for (Path file : files) {
            try {
                validate(file);
                System.out.println(file + ": good");
            } catch (InvalidSettingsException e) {
                System.err.println(e.getMessage());
                exitCode = Cli.BAD_INPUT;
            }
        }
        return exitCode;
    }

    private static void validate(Path file) throws InvalidSettingsException {
        if (IniFile.read(file).hasSection(DAY_SECTION)) {
            Scenario.find(file.toString());
        } else {
            FrontSettings.read(file);
        }
    }
}
