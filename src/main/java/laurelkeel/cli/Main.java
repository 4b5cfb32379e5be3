package laurelkeel.cli;

import java.io.IOException;
import laurelkeel.benchlink.BenchLink;
import laurelkeel.benchlink.Malformed;
import laurelkeel.decision.Shifter;

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
            System.exit(Serve.run(System.getenv()));
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            System.exit(Rehearsal.run());
        } else {
            System.exit(Cli.run(args));
        }
    }

    static void benchlink() throws IOException {
        try {
            new BenchLink(Shifter::new).run(System.in, System.out);
        } catch (Malformed e) {
            System.err.println("laurelkeel: " + e.getMessage());
            System.exit(Cli.BAD_INPUT);
        }
    }
}
