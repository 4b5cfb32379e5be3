package laurelkeel.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import laurelkeel.soak.FloodBench;
import laurelkeel.soak.FloodKind;
import laurelkeel.soak.FloodResult;
import laurelkeel.soak.NodeImage;
import laurelkeel.soak.NodeKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code bench floods}: a real node's memory and its other clients' waits while some clients misbehave. */
@Command(
        name = "floods",
        mixinStandardHelpOptions = true,
        description = "Measures a real node's memory and its other clients' waits while some clients misbehave.")
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class FloodBenchCommand implements Callable<Integer> {
    @Option(names = "--nodes", split = ",", defaultValue = "SERVE,FRONT", description = "default: ${DEFAULT-VALUE}")
    private List<NodeKind> nodes;

    @Option(names = "--kinds", split = ",", description = "${COMPLETION-CANDIDATES}; default: all")
    private List<FloodKind> kinds = List.of(FloodKind.values());

    @Option(
            names = "--out",
            defaultValue = "target/bench-floods",
            paramLabel = "DIR",
            description = "folder for logs and configurations; default: ${DEFAULT-VALUE}")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createDirectories(out).toAbsolutePath();
        FloodBench bench = new FloodBench(NodeImage.make(folder), folder);
        System.out.println(FloodResult.HEADER);
        for (NodeKind node : nodes) {
            for (FloodKind kind : kinds) {
                System.out.println(bench.run(node, kind).row());
            }
        }
        return 0;
    }
}
