package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The soak starts nodes with the options of the deployment. */
class NodeImageTest {
    @Test
    void jvmOptionsEqualThoseOfTheDeployment() throws Exception {
        List<String> deployed = Files.readAllLines(Path.of("deploy", "node.args")).stream()
                .filter(line -> line.startsWith("-"))
                .toList();
        assertEquals(deployed, NodeImage.JVM_OPTIONS);
    }
}
