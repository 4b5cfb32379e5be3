package laurelkeel.cli;

import java.io.IOException;
import laurelkeel.benchlink.BenchLink;
import laurelkeel.benchlink.Malformed;
import laurelkeel.decision.Shifter;

/** The program's entry: one subcommand a line of work. */
public final class Main {
    private static final int BAD_INPUT = 2;

    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: laurelkeel benchlink    (decide for the bench: its wire on stdin and stdout)");
            System.exit(BAD_INPUT);
        }
        try {
            new BenchLink(Shifter::new).run(System.in, System.out);
        } catch (Malformed e) {
            System.err.println("laurelkeel: " + e.getMessage());
            System.exit(BAD_INPUT);
        }
    }
}
