package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The library that lets a node's system calls fail and its wall clock step (soak/faults.c), built where there is a C compiler. */
public final class FaultLibrary {
    private static final String SOURCE = "/soak/faults.c";
    private static final int COMPILE_SECONDS = 60;

    private FaultLibrary() {}

    /** Empty where there is no compiler, or it fails. */
    public static Optional<Path> build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve("faults.c");
        Path library = folder.resolve("faults.so");
        try (InputStream in = FaultLibrary.class.getResourceAsStream(SOURCE)) {
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
}
