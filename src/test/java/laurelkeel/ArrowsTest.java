package laurelkeel;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The arrows between packages, as docs/front.md draws them. */
class ArrowsTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("laurelkeel");

    /** What each package may use of ours. */
    private static final Map<String, List<String>> MAY = Map.ofEntries(
            Map.entry("api", List.of()),
            Map.entry("decision", List.of("api")),
            Map.entry("wire", List.of()),
            Map.entry("config", List.of()),
            Map.entry("loop", List.of()),
            Map.entry("records", List.of()),
            Map.entry("audit", List.of("records")),
            Map.entry("options", List.of("api")),
            Map.entry("benchlink", List.of("api", "options")),
            Map.entry("platform", List.of("api", "front", "loop", "options", "wire")),
            Map.entry("bench", List.of("admin", "api", "blame", "decision", "lanes", "wire", "standin")),
            Map.entry("blame", List.of()),
            Map.entry("lanes", List.of("api")),
            Map.entry("admin", List.of("wire")),
            Map.entry("front", List.of("admin", "api", "blame", "lanes", "wire", "config", "logs", "loop", "records")),
            Map.entry("logs", List.of()),
            Map.entry("soak", List.of()),
            Map.entry("standin", List.of("blame", "wire", "loop", "records")),
            Map.entry("day", List.of("api", "audit", "config", "front", "loop", "records", "standin")));

    @Test
    void packagesUseOnlyWhatTheyMay() {
        MAY.forEach((from, to) -> {
            String[] others = MAY.keySet().stream()
                    .filter(p -> !p.equals(from) && !to.contains(p))
                    .map(p -> "laurelkeel." + p + "..")
                    .toArray(String[]::new);
            noClasses()
                    .that()
                    .resideInAPackage("laurelkeel." + from + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(others)
                    .check(ALL);
            noClasses()
                    .that()
                    .resideInAPackage("laurelkeel." + from + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("laurelkeel.cli..")
                    .check(ALL);
        });
    }

    @Test
    void whatDecidesTouchesNoInputOutputClockOrThread() {
        for (String p : List.of("api", "decision", "lanes", "blame")) {
            classes()
                    .that()
                    .resideInAPackage("laurelkeel." + p + "..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(
                            "laurelkeel.api..",
                            "laurelkeel.decision..",
                            "laurelkeel.lanes..",
                            "laurelkeel.blame..",
                            "org.apache.commons.math3..",
                            "org.jspecify.annotations",
                            "java.lang..",
                            "java.util",
                            "java.util.function..",
                            "java.util.stream..",
                            "java.util.zip..",
                            "java.nio.charset..")
                    .check(ALL);
            noClasses()
                    .that()
                    .resideInAPackage("laurelkeel." + p + "..")
                    .should()
                    .dependOnClassesThat()
                    .belongToAnyOf(System.class, Thread.class)
                    .check(ALL);
        }
    }

    @Test
    void noCircles() {
        slices().matching("laurelkeel.(*)..").should().beFreeOfCycles().check(ALL);
        slices().matching("laurelkeel.front.(*)..").should().beFreeOfCycles().check(ALL);
    }
}
