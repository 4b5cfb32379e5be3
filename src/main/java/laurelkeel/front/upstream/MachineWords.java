package laurelkeel.front.upstream;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.wire.HttpAnswer;

/** What one protocol's machines mean. Called on any thread. */
public interface MachineWords {
    Came came(HttpAnswer answer);

    /** What an answer counts as that cannot be read. */
    AttemptOutcome unreadable();
}
