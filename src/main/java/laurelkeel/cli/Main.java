package laurelkeel.cli;

import java.io.IOException;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.simulatoradapter.MalformedSimulatorMessageException;
import laurelkeel.simulatoradapter.SimulatorAdapter;

/**
 * The program's entry point. The commands {@code benchlink}, {@code serve} and {@code rehearse}, if they are the only
 * argument, run without loading the command-line library: {@code benchlink} is started hundreds of times per benchmark
 * score, {@code serve} starts on part of a core, and {@code rehearse} records the classes that {@code serve} loads, for
 * the build's class archive.
 */
public final class Main {

    private Main() {}

    /**
     * Runs the command that the arguments name and exits with its exit code.
     *
     * @throws Exception if a command that bypasses the command-line library fails
     */
    public static void main(String[] args) throws Exception {
        // Logback reads this property on its first use; until then, the option --logs may replace the value
        System.setProperty(Cli.LOG_CONFIGURATION_PROPERTY, "logback-text.xml");
        switch (args.length == 1 ? args[0] : "") {
            case "benchlink" -> benchlink();
            case "serve" -> System.exit(NodeLauncher.run(System.getenv()));
            case "rehearse" -> System.exit(ClassArchiveTraining.run());
            default -> System.exit(Cli.run(args));
        }
    }

    static void benchlink() throws IOException {
        try {
            new SimulatorAdapter(RoutingDecider::new).run(System.in, System.out);
        } catch (MalformedSimulatorMessageException e) {
            System.err.println("laurelkeel: " + e.getMessage());
            System.exit(Cli.BAD_INPUT);
        }
    }
}
