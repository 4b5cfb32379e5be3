package laurelkeel.audit;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.ServerStarted;

/** One incarnation of a server with the attempts that reached it, by time. Filled by {@link RecordedTraffic}. */
final class ServerTrace {
    final ServerStarted started;
    final List<AttemptArrived> attempts = new ArrayList<>();

    ServerTrace(ServerStarted started) {
        this.started = started;
    }
}
