package laurelkeel.cli;

import java.io.IOException;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.simulatoradapter.MalformedSimulatorMessageException;
import laurelkeel.simulatoradapter.SimulatorAdapter;

/** The program's entry. benchlink is started hundreds of times a score, so it passes by the command line library; so does
 * serve, which starts on part of a core. */
public final class Main {

    private Main() {}

    public static void main(String[] args) throws Exception {
        // read by logback at its first use; the option --logs may name another one before
        System.setProperty("logback.configurationFile", "logback-text.xml");
        if (args.length == 1 && args[0].equals("benchlink")) {
            benchlink();
        } else if (args.length == 1 && args[0].equals("serve")) {
            System.exit(NodeLauncher.run(System.getenv()));
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            System.exit(ClassArchiveTraining.run());
        } else {
            System.exit(Cli.run(args));
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
