package laurelkeel;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Calendar;
import java.util.Date;
import java.util.List;
import java.util.Map;
import java.util.Scanner;
import java.util.Timer;
import java.util.TimerTask;
import org.junit.jupiter.api.Test;

/**
 * Checks that packages depend on each other only as shown in docs/front.md and without cycles, and that the packages of
 * the deciders use only a few packages of the JDK and of libraries.
 */
class PackageDependencyTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("laurelkeel");

    /** For each package except cli, which may use all of them, the other packages of this project that it may use. */
    private static final Map<String, List<String>> ALLOWED = Map.ofEntries(
            Map.entry("api", List.of()),
            Map.entry("decision", List.of("api")),
            Map.entry("wire", List.of()),
            Map.entry("config", List.of()),
            Map.entry("eventloop", List.of()),
            Map.entry("records", List.of()),
            Map.entry("audit", List.of("records")),
            Map.entry("options", List.of("api")),
            Map.entry("simulatoradapter", List.of("api", "options")),
            Map.entry("platform", List.of("api", "front", "eventloop", "options", "wire")),
            Map.entry("bench", List.of("admin", "api", "attribution", "decision", "partition", "wire", "testbed")),
            Map.entry("attribution", List.of()),
            Map.entry("partition", List.of("api")),
            Map.entry("admin", List.of("wire")),
            Map.entry(
                    "front",
                    List.of(
                            "admin",
                            "api",
                            "attribution",
                            "partition",
                            "wire",
                            "config",
                            "logging",
                            "eventloop",
                            "records")),
            Map.entry("logging", List.of()),
            Map.entry("soak", List.of()),
            Map.entry("testbed", List.of("attribution", "wire", "eventloop", "records")),
            Map.entry("scenario", List.of("api", "audit", "config", "front", "eventloop", "records", "testbed")));

    @Test
    void packagesDependOnlyOnThoseAllowed() {
        ALLOWED.forEach((from, to) -> {
            String[] forbidden = ALLOWED.keySet().stream()
                    .filter(name -> !name.equals(from) && !to.contains(name))
                    .map(name -> "laurelkeel." + name + "..")
                    .toArray(String[]::new);
            noClasses()
                    .that()
                    .resideInAPackage("laurelkeel." + from + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(forbidden)
                    .check(CLASSES);
            noClasses()
                    .that()
                    .resideInAPackage("laurelkeel." + from + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("laurelkeel.cli..")
                    .check(CLASSES);
        });
    }

    /**
     * Excludes classes by name, because the allowed packages java.lang and java.util contain some for I/O, clocks and
     * threads. The list is not complete: for example, java.util.Formatter can write files.
     */
    @Test
    void decisionPackagesUseNoIoClocksOrThreads() {
        for (String name : List.of("api", "decision", "partition", "attribution")) {
            classes()
                    .that()
                    .resideInAPackage("laurelkeel." + name + "..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(
                            "laurelkeel.api..",
                            "laurelkeel.decision..",
                            "laurelkeel.partition..",
                            "laurelkeel.attribution..",
                            "org.apache.commons.math3..",
                            "org.jspecify.annotations",
                            "java.lang..",
                            "java.util",
                            "java.util.function..",
                            "java.util.stream..",
                            "java.util.zip..",
                            "java.nio.charset..")
                    .check(CLASSES);
            noClasses()
                    .that()
                    .resideInAPackage("laurelkeel." + name + "..")
                    .should()
                    .dependOnClassesThat()
                    .belongToAnyOf(
                            System.class,
                            Thread.class,
                            ThreadGroup.class,
                            Runtime.class,
                            Process.class,
                            ProcessBuilder.class,
                            Timer.class,
                            TimerTask.class,
                            Scanner.class,
                            Date.class,
                            Calendar.class)
                    .check(CLASSES);
        }
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("laurelkeel.(*)..").should().beFreeOfCycles().check(CLASSES);
        slices().matching("laurelkeel.front.(*)..").should().beFreeOfCycles().check(CLASSES);
    }
}
