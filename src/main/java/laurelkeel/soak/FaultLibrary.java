package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The preloaded library that makes a node's system calls fail and its wall clock step (soak/faults.c). */
public final class FaultLibrary {
    private static final String SOURCE = "/soak/faults.c";
    private static final int COMPILE_SECONDS = 60;

    private FaultLibrary() {}

    /**
     * Compiles the library.
     *
     * @param folder where source, library and the compiler's log are written
     * @return the path of the library; empty if there is no C compiler, or if it fails
     * @throws IOException if the source cannot be written
     */
    public static Optional<Path> build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve("faults.c");
        Path library = folder.resolve("faults.so");
        try (InputStream in = Objects.requireNonNull(FaultLibrary.class.getResourceAsStream(SOURCE), SOURCE)) {
            Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
        }
        try {
            Process compiler = new ProcessBuilder(
                            "cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), source.toString(), "-ldl")
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("faults.log").toFile())
                    .start();
            boolean built = compiler.waitFor(COMPILE_SECONDS, TimeUnit.SECONDS) && compiler.exitValue() == 0;
            return built ? Optional.of(library) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns the environment variables that apply the faults of a plan to a process; empty if the plan has none. */
    static Map<String, String> environment(Path library, SoakPlan plan) {
        Map<String, String> environment = new HashMap<>();
        if (!plan.clockSteps().isEmpty()) {
            environment.put("SOAK_STEPS", plan.clockSteps());
        }
        if (!plan.callFaults().isEmpty()) {
            environment.put("SOAK_FAULTS", plan.callFaults());
        }
        if (!environment.isEmpty()) {
            environment.put("LD_PRELOAD", library.toString());
        }
        return environment;
    }
}
