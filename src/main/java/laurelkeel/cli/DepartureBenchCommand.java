package laurelkeel.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import laurelkeel.soak.DepartureBench;
import laurelkeel.soak.DepartureResult;
import laurelkeel.soak.NodeImage;
import laurelkeel.soak.NodeKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code bench departures}: what a real node sends on for clients that have left. */
@Command(
        name = "departures",
        mixinStandardHelpOptions = true,
        description = {
            "Lets clients of a real node leave in every way and in every state of their requests (docs/incidents).",
            "Exit code 3 if an attempt began more than 0.1 s after its client had left."
        })
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class DepartureBenchCommand implements Callable<Integer> {
    @Option(names = "--nodes", split = ",", defaultValue = "SERVE,FRONT", description = "default: ${DEFAULT-VALUE}")
    private List<NodeKind> nodes;

    @Option(
            names = "--out",
            defaultValue = "target/bench-departures",
            paramLabel = "DIR",
            description = "folder for logs and configurations; default: ${DEFAULT-VALUE}")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createDirectories(out).toAbsolutePath();
        DepartureBench bench = new DepartureBench(NodeImage.make(folder), folder);
        System.out.println(DepartureResult.HEADER);
        int broken = 0;
        int played = 0;
        for (NodeKind node : nodes) {
            List<DepartureResult> results = bench.run(node, System.out);
            played += results.size();
            broken += (int) results.stream().filter(DepartureResult::isBroken).count();
        }
        System.out.println(played + " departures, " + broken + " broken");
        return broken == 0 ? 0 : Cli.RULE_BROKEN;
    }
}
