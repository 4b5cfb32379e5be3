package laurelkeel.api;

/** What a front does. Times are tenths of a millisecond. */
public sealed interface Action {

    enum Verdict {
        NONE,
        ON,
        HOLD,
        BACK
    }

    record Send(String req, String machine, long within) implements Action {}

    record StopTry(String req, int tryNo) implements Action {}

    record Shed(String req, long retryAfter) implements Action {}

    record Err(String req) implements Action {}

    record Timer(long when, long handle) implements Action {}

    record Probe(String machine) implements Action {}

    record CloseIdle(String machine) implements Action {}

    /** A short message to one other front, or to all where to is below 0. */
    record Tell(int to, byte[] bytes) implements Action {}

    record WatchList(boolean on) implements Action {}

    record FetchList() implements Action {}

    record Vote(int build, int stage, Verdict verdict) implements Action {}

    record Log(String text) implements Action {}
}
