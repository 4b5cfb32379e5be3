package laurelkeel.records;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The stored form of records must not change, so that files written by earlier versions remain readable. */
class TrafficRecordFormatTest {
    private static final List<TrafficRecord> RECORDS = List.of(
            new TrafficRecord.AuditParameters(
                    1,
                    List.of(
                            new TrafficRecord.RoutePolicy(
                                    "look", RecordTerms.Idempotency.IDEMPOTENT, RecordTerms.DeduplicationScope.ALL, 0),
                            new TrafficRecord.RoutePolicy(
                                    "note",
                                    RecordTerms.Idempotency.DEDUPLICATED,
                                    RecordTerms.DeduplicationScope.ZONE,
                                    20_000),
                            new TrafficRecord.RoutePolicy(
                                    "pay",
                                    RecordTerms.Idempotency.NOT_IDEMPOTENT,
                                    RecordTerms.DeduplicationScope.CELL,
                                    0)),
                    5_000,
                    100_000,
                    3.5,
                    true,
                    1,
                    true,
                    List.of(0.1, 1.0)),
            new TrafficRecord.RecordsLost(2, 7),
            new TrafficRecord.RequestSent(3, "c1.2", "c1", 0, "note", "acme", "k5", "m-c1", 15_003, true),
            new TrafficRecord.RequestSent(4, "c3.4", "c3", 1, "look", null, null, null, 15_004, false),
            new TrafficRecord.ResponseReceived(5, "c1.2", 200, RecordTerms.Outcome.COMPLETED, false),
            new TrafficRecord.ResponseReceived(6, "c3.4", 503, RecordTerms.Outcome.REJECTED, true),
            new TrafficRecord.ResponseReceived(7, "c5.6", 500, RecordTerms.Outcome.FAILED, false),
            new TrafficRecord.UnexpectedBytes(8, "c1.2", "an answer of status 200"),
            new TrafficRecord.ConnectionBroken(9, "c1.2", "the connection closed"),
            new TrafficRecord.ClientClosed(10, "c1.2", true),
            new TrafficRecord.NodeStarted(11, 0, "ab12"),
            new TrafficRecord.NodeStopped(12, 0, true),
            new TrafficRecord.EndpointListReceived(
                    13,
                    0,
                    "ab12",
                    RecordTerms.EndpointListKind.DELTA,
                    List.of(
                            new TrafficRecord.EndpointEntry("127.0.0.1:1", 4, 2, RecordTerms.EndpointState.ACTIVE),
                            new TrafficRecord.EndpointEntry("127.0.0.1:2", 5, 2, RecordTerms.EndpointState.DRAINING),
                            new TrafficRecord.EndpointEntry("127.0.0.1:3", 6, 1, RecordTerms.EndpointState.REMOVED))),
            new TrafficRecord.EndpointListReceived(14, 0, "ab12", RecordTerms.EndpointListKind.SNAPSHOT, List.of()),
            new TrafficRecord.EndpointListReceived(15, 0, "ab12", RecordTerms.EndpointListKind.CACHED, List.of()),
            new TrafficRecord.RolloutUpdateReceived(16, 0, "ab12", 2, 1, 0.25, RecordTerms.RolloutPhase.CANARY),
            new TrafficRecord.ServerStarted(17, "127.0.0.1:1", 4, 2, 0, 1, 400, 0.2, 30_000, 2.5, 10_000, true),
            new TrafficRecord.ServerStopped(18, "127.0.0.1:1", 4, RecordTerms.StopReason.CRASHED),
            new TrafficRecord.ServerStopped(19, "127.0.0.1:1", 4, RecordTerms.StopReason.DRAINED),
            new TrafficRecord.ServerStopped(20, "127.0.0.1:1", 4, RecordTerms.StopReason.OVERLOADED),
            new TrafficRecord.ServerStopped(21, "127.0.0.1:1", 4, RecordTerms.StopReason.CLOSED),
            new TrafficRecord.AttemptArrived(22, "127.0.0.1:1", 4, 2, "c1.2", 1, 0, "ab12"),
            new TrafficRecord.AttemptRejected(23, "127.0.0.1:1", 4, "c1.2", 1),
            new TrafficRecord.AttemptExecuted(24, "127.0.0.1:1", 4, "c1.2", 1, true),
            new TrafficRecord.AttemptAnswered(25, "127.0.0.1:1", 4, "c1.2", 1, 200),
            new TrafficRecord.VoteReceived(26, 0, 2, 1, "back", "over-limit"),
            new TrafficRecord.AttributionPublished(27, 2, "set-aside", 0.75, "fails on look"),
            new TrafficRecord.RolloutStageChanged(28, 2, 1, 0.25, RecordTerms.RolloutPhase.CANARY),
            new TrafficRecord.RolloutStageChanged(29, 2, 1, 0, RecordTerms.RolloutPhase.ROLLING_BACK),
            new TrafficRecord.RolloutStageChanged(30, 2, 1, 1, RecordTerms.RolloutPhase.RELEASED),
            new TrafficRecord.RolloutStageChanged(31, 2, 1, 0, RecordTerms.RolloutPhase.ROLLED_BACK));

    private static final String STORED_LINES =
            """
            {"k":"rules","t":1,"routes":[{"name":"look","effect":"RETRIABLE","group":"ALL","window":0},{"name":"note","effect":"DEDUPED","group":"ZONE","window":20000},{"name":"pay","effect":"NON_RETRIABLE","group":"CELL","window":0}],"drainGrace":5000,"window":100000,"free":3.5,"perRoute":true,"guardedStages":1,"keysStay":true,"stageCaps":[0.1,1.0]}
            {"k":"lost","t":2,"records":7}
            {"k":"asked","t":3,"req":"c1.2","of":"c1","front":0,"route":"note","customer":"acme","key":"k5","mark":"m-c1","leaves":15003,"again":true}
            {"k":"asked","t":4,"req":"c3.4","of":"c3","front":1,"route":"look","leaves":15004,"again":false}
            {"k":"answered","t":5,"req":"c1.2","status":200,"is":"COMPLETED","notTaken":false}
            {"k":"answered","t":6,"req":"c3.4","status":503,"is":"SHED","notTaken":true}
            {"k":"answered","t":7,"req":"c5.6","status":500,"is":"ERRORED","notTaken":false}
            {"k":"stray","t":8,"req":"c1.2","what":"an answer of status 200"}
            {"k":"broke","t":9,"req":"c1.2","how":"the connection closed"}
            {"k":"left","t":10,"req":"c1.2","early":true}
            {"k":"frontUp","t":11,"front":0,"life":"ab12"}
            {"k":"frontDown","t":12,"front":0,"killed":true}
            {"k":"toldList","t":13,"front":0,"life":"ab12","kind":"CHANGES","machines":[{"machine":"127.0.0.1:1","run":4,"build":2,"state":"LIVE"},{"machine":"127.0.0.1:2","run":5,"build":2,"state":"DRAINING"},{"machine":"127.0.0.1:3","run":6,"build":1,"state":"GONE"}]}
            {"k":"toldList","t":14,"front":0,"life":"ab12","kind":"FULL","machines":[]}
            {"k":"toldList","t":15,"front":0,"life":"ab12","kind":"REMEMBERED","machines":[]}
            {"k":"toldNews","t":16,"front":0,"life":"ab12","build":2,"stage":1,"cap":0.25,"phase":"TRIAL"}
            {"k":"machineUp","t":17,"machine":"127.0.0.1:1","run":4,"build":2,"zone":0,"cell":1,"capacity":400.0,"coldFrom":0.2,"coldFor":30000,"tipMultiple":2.5,"tipAfter":10000,"cold":true}
            {"k":"machineDown","t":18,"machine":"127.0.0.1:1","run":4,"why":"died"}
            {"k":"machineDown","t":19,"machine":"127.0.0.1:1","run":4,"why":"drained"}
            {"k":"machineDown","t":20,"machine":"127.0.0.1:1","run":4,"why":"tipped"}
            {"k":"machineDown","t":21,"machine":"127.0.0.1:1","run":4,"why":"end"}
            {"k":"arrived","t":22,"machine":"127.0.0.1:1","run":4,"build":2,"req":"c1.2","no":1,"front":0,"life":"ab12"}
            {"k":"turnedAway","t":23,"machine":"127.0.0.1:1","run":4,"req":"c1.2","no":1}
            {"k":"ran","t":24,"machine":"127.0.0.1:1","run":4,"req":"c1.2","no":1,"dropped":true}
            {"k":"replied","t":25,"machine":"127.0.0.1:1","run":4,"req":"c1.2","no":1,"status":200}
            {"k":"voted","t":26,"front":0,"build":2,"stage":1,"verdict":"back","answer":"over-limit"}
            {"k":"blamed","t":27,"build":2,"word":"set-aside","probability":0.75,"evidence":"fails on look"}
            {"k":"stage","t":28,"build":2,"stage":1,"cap":0.25,"phase":"TRIAL"}
            {"k":"stage","t":29,"build":2,"stage":1,"cap":0.0,"phase":"GOING_BACK"}
            {"k":"stage","t":30,"build":2,"stage":1,"cap":1.0,"phase":"RELEASED"}
            {"k":"stage","t":31,"build":2,"stage":1,"cap":0.0,"phase":"WITHDRAWN"}
            """;

    @TempDir
    Path folder;

    @Test
    void writesRecordsInTheirStoredForm() throws IOException {
        Path file = folder.resolve("a.jsonl");
        try (RecordWriter writer = new RecordWriter(file, false)) {
            RECORDS.forEach(writer::record);
        }
        assertEquals(STORED_LINES, Files.readString(file));
    }

    @Test
    void readsStoredLines() throws IOException {
        Files.writeString(folder.resolve("a.jsonl"), STORED_LINES);
        assertEquals(RECORDS, RecordReader.readAll(folder));
    }
}
