package laurelkeel.front;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.CodeSource;
import java.util.List;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ensures that classes can be loaded later without a free file descriptor. The virtual machine opens an archive of the
 * class path when it first searches it; if no file descriptor is free, the class is treated as missing for good, and
 * the thread that needed it ends with a {@link NoClassDefFoundError}.
 */
final class ClassPreloader {
    private static final Logger LOG = LoggerFactory.getLogger(ClassPreloader.class);
    /** A resource that does not exist, so that a search for it opens every archive on the class path. */
    private static final String ABSENT_RESOURCE = "laurelkeel/front/absent";

    private static final String CLASS_FILE_SUFFIX = ".class";

    private static boolean done;

    private ClassPreloader() {}

    /**
     * Opens every archive on the class path, which the class loader then keeps open. If this program runs from a
     * directory of classes instead of an archive, as in development, it loads all of them. Only the first call has an
     * effect.
     */
    static synchronized void preload() {
        if (done) {
            return;
        }
        done = true;
        ClassLoader loader = ClassPreloader.class.getClassLoader();
        loader.getResource(ABSENT_RESOURCE);
        try {
            CodeSource source = ClassPreloader.class.getProtectionDomain().getCodeSource();
            Path program = Path.of(source.getLocation().toURI());
            if (Files.isDirectory(program)) {
                loadAll(program, loader);
            }
        } catch (IOException | URISyntaxException e) {
            LOG.warn("not all classes could be preloaded: {}", e.toString());
        }
    }

    private static void loadAll(Path directory, ClassLoader loader) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(directory)) {
            files = all.filter(file -> file.toString().endsWith(CLASS_FILE_SUFFIX))
                    .toList();
        }
        for (Path file : files) {
            String path = directory.relativize(file).toString();
            load(
                    path.substring(0, path.length() - CLASS_FILE_SUFFIX.length())
                            .replace(file.getFileSystem().getSeparator(), "."),
                    loader);
        }
    }

    private static void load(String name, ClassLoader loader) {
        try {
            Class.forName(name, false, loader);
        } catch (ClassNotFoundException | LinkageError e) {
            LOG.debug("class {} cannot be loaded: {}", name, e.toString());
        }
    }
}
