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

@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = {
            "Checks settings files of fronts and days, and starts nothing.",
            "All faults are told at once, each with file, line and mend."
        })
final class CheckCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "FILE.ini")
    private List<Path> files;

    @Override
    public Integer call() {
        int code = 0;
        for (Path file : files) {
            try {
                if (IniFile.read(file).hasSection("day")) {
                    Scenario.find(file.toString());
                } else {
                    FrontSettings.read(file);
                }
                System.out.println(file + ": good");
            } catch (InvalidSettingsException e) {
                System.err.println(e.getMessage());
                code = Cli.BAD_INPUT;
            }
        }
        return code;
    }
}
