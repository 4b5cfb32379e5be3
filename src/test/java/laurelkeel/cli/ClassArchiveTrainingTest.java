package laurelkeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Runs the whole node with the real decider, as the build does to create the class archive. */
class ClassArchiveTrainingTest {
    @Test
    void nodeServesAllTrainingRequestsAndTerminates() throws Exception {
        assertEquals(0, ClassArchiveTraining.run());
    }
}
