package laurelkeel.soak;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;

/**
 * The command that starts a front node as the platform does: with the options of deploy/node.args and a class-data sharing
 * archive of the classes of this process. A node that loads its classes from an archive starts up in a different order than
 * one that does not, so tests of the startup need the archive. Immutable.
 */
public final class NodeImage {
    /** The JVM options of deploy/node.args. */
    static final List<String> JVM_OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-Xms24m",
            "-Xmx48m",
            "-Xss256k",
            "-XX:MaxMetaspaceSize=48m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxDirectMemorySize=8m",
            "-XX:-UsePerfData",
            "-Djava.net.preferIPv4Stack=true");

    private static final String MAIN_CLASS = "laurelkeel.cli.Main";
    /** One class of each library that a node needs, to locate the library. */
    private static final List<String> LIBRARY_CLASSES = List.of(
            "org.apache.mina.core.session.IoSession",
            "org.slf4j.Logger",
            "ch.qos.logback.classic.Logger",
            "ch.qos.logback.core.Appender",
            "com.fasterxml.jackson.databind.ObjectMapper",
            "com.fasterxml.jackson.core.JsonParser",
            "com.fasterxml.jackson.annotation.JsonProperty",
            "org.jctools.queues.MpscUnboundedArrayQueue");

    private static final int TRAINING_SECONDS = 60;

    private final List<String> command;

    private NodeImage(List<String> command) {
        this.command = command;
    }

    /**
     * Creates the archive with the same training run as the build.
     *
     * @param folder where jar and archive are written; both must exist as long as nodes are started
     * @throws IOException if the training run fails; the message names the log of the run
     */
    public static NodeImage make(Path folder) throws IOException, InterruptedException {
        List<String> classPath = new ArrayList<>();
        classPath.add(jar(location(MAIN_CLASS), folder).toString());
        for (String library : LIBRARY_CLASSES) {
            classPath.add(location(library).toString());
        }
        Path archive = folder.resolve("node.jsa");
        List<String> common = new ArrayList<>(JVM_OPTIONS);
        common.addAll(List.of("-cp", String.join(File.pathSeparator, classPath), MAIN_CLASS));
        train(archive, common, folder.resolve("rehearsal.log"));
        List<String> command = new ArrayList<>(List.of(java(), "-XX:SharedArchiveFile=" + archive));
        command.addAll(common);
        command.add("serve");
        return new NodeImage(command);
    }

    /** Returns the command that runs a standalone node with the class path of this process, which has its further libraries. */
    static NodeImage standalone(Path settings) {
        List<String> command = new ArrayList<>(List.of(java()));
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN_CLASS, "front", settings.toString()));
        return new NodeImage(command);
    }

    /** Returns the command that runs a node. */
    List<String> command() {
        return command;
    }

    private static void train(Path archive, List<String> common, Path log) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(java(), "-XX:ArchiveClassesAtExit=" + archive));
        command.addAll(common);
        command.add("rehearse");
        Process training = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        if (!training.waitFor(TRAINING_SECONDS, TimeUnit.SECONDS) || training.exitValue() != 0) {
            training.destroyForcibly();
            throw new IOException("the training run failed; see " + log);
        }
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private static Path location(String className) throws IOException {
        try {
            return Path.of(Class.forName(className, false, NodeImage.class.getClassLoader())
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (ClassNotFoundException | URISyntaxException e) {
            throw new IOException("cannot locate the library that contains " + className, e);
        }
    }

    /** Packs a folder of classes into a jar, because the JVM cannot archive classes of a folder; returns a jar unchanged. */
    private static Path jar(Path classes, Path folder) throws IOException {
        if (!Files.isDirectory(classes)) {
            return classes;
        }
        Path jar = folder.resolve("node.jar");
        try (OutputStream file = Files.newOutputStream(jar);
                JarOutputStream out = new JarOutputStream(file);
                Stream<Path> entries = Files.walk(classes)) {
            for (Path entry : (Iterable<Path>) entries.filter(Files::isRegularFile)::iterator) {
                out.putNextEntry(new JarEntry(classes.relativize(entry).toString()));
                Files.copy(entry, out);
                out.closeEntry();
            }
        }
        return jar;
    }
}
