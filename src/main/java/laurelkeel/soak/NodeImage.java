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
 * What starts a front node as the platform does: the command line of deploy/node.args with a class archive, made of the
 * classes that this process runs. A node that reads its classes from an archive starts in another order than one that
 * does not, so tests of the start need it.
 */
public final class NodeImage {
    /** As deploy/node.args. */
    static final List<String> JVM = List.of(
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

    private static final String MAIN = "laurelkeel.cli.Main";
    /** One class of each library that a node needs. */
    private static final List<String> LIBRARIES = List.of(
            "org.apache.mina.core.session.IoSession",
            "org.slf4j.Logger",
            "ch.qos.logback.classic.Logger",
            "ch.qos.logback.core.Appender",
            "com.fasterxml.jackson.databind.ObjectMapper",
            "com.fasterxml.jackson.core.JsonParser",
            "com.fasterxml.jackson.annotation.JsonProperty",
            "org.jctools.queues.MpscUnboundedArrayQueue");

    private static final int REHEARSAL_SECONDS = 60;

    private final List<String> command;

    private NodeImage(List<String> command) {
        this.command = command;
    }

    /**
     * Makes the archive by the rehearsal that the build uses.
     *
     * @param folder where jar and archive are left; they have to last as long as nodes are started
     * @throws IOException where the rehearsal fails; it names the rehearsal's log
     */
    public static NodeImage make(Path folder) throws IOException, InterruptedException {
        List<String> classPath = new ArrayList<>();
        classPath.add(jar(location(MAIN), folder).toString());
        for (String library : LIBRARIES) {
            classPath.add(location(library).toString());
        }
        Path archive = folder.resolve("node.jsa");
        List<String> common = new ArrayList<>(JVM);
        common.addAll(List.of("-cp", String.join(File.pathSeparator, classPath), MAIN));
        rehearse(archive, common, folder.resolve("rehearsal.log"));
        List<String> command = new ArrayList<>(List.of(java(), "-XX:SharedArchiveFile=" + archive));
        command.addAll(common);
        command.add("serve");
        return new NodeImage(command);
    }

    /** The command that serves. */
    List<String> command() {
        return command;
    }

    private static void rehearse(Path archive, List<String> common, Path log) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(java(), "-XX:ArchiveClassesAtExit=" + archive));
        command.addAll(common);
        command.add("rehearse");
        Process rehearsal = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        if (!rehearsal.waitFor(REHEARSAL_SECONDS, TimeUnit.SECONDS) || rehearsal.exitValue() != 0) {
            rehearsal.destroyForcibly();
            throw new IOException("the rehearsal failed; see " + log);
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
            throw new IOException("no library holds " + className, e);
        }
    }

    /** Classes from a folder cannot be archived: they are packed first. */
    private static Path jar(Path classes, Path folder) throws IOException {
        if (!Files.isDirectory(classes)) {
            return classes;
        }
        Path jar = folder.resolve("node.jar");
        try (OutputStream file = Files.newOutputStream(jar);
                JarOutputStream out = new JarOutputStream(file);
                Stream<Path> all = Files.walk(classes)) {
            for (Path each : (Iterable<Path>) all.filter(Files::isRegularFile)::iterator) {
                out.putNextEntry(new JarEntry(classes.relativize(each).toString()));
                Files.copy(each, out);
                out.closeEntry();
            }
        }
        return jar;
    }
}
