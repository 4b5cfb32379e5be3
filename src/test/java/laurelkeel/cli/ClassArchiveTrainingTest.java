package laurelkeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The whole node with the real decider, as the build's class archive is made from it. */
class ClassArchiveTrainingTest {
    @Test
    void aNodeServesAllRequestsOfTheTrainingAndEnds() throws Exception {
        assertEquals(0, ClassArchiveTraining.run());
    }
}
