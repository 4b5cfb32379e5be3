package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Action.CastVote;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.platform.ControlServiceMessage.VoteRejected;
import org.junit.jupiter.api.Test;

/** The names on the wire, as documented on the platform's protocol and deployment pages. */
class WireNamesTest {
    @Test
    void headersHaveTheNamesOfTheProtocol() {
        assertEquals("X-Correlation-Id", PlatformHeaders.REQUEST_ID);
        assertEquals("X-Account", PlatformHeaders.TENANT);
        assertEquals("X-Session-Key", PlatformHeaders.PARTITION_KEY);
        assertEquals("X-Time-Left", PlatformHeaders.REMAINING_SECONDS);
        assertEquals("X-Repeat", PlatformHeaders.CLIENT_RETRY);
        assertEquals("Idempotency-Key", PlatformHeaders.IDEMPOTENCY_KEY);
        assertEquals("X-Unprocessed", PlatformHeaders.NOT_EXECUTED);
        assertEquals("X-Backend-Load", PlatformHeaders.LOAD_REPORT);
        assertEquals("Retry-After", PlatformHeaders.RETRY_AFTER);
        assertEquals("1", PlatformHeaders.FLAG_SET);
    }

    @Test
    void pathsHaveTheNamesOfTheProtocol() {
        assertEquals("/healthz", PlatformProtocol.HEALTH_PATH);
        assertEquals("/load", EndpointMessages.HEALTH_CHECK_PATH);
        assertArrayEquals(
                "GET /v1/servers?watch=1&after=41 HTTP/1.1\r\nHost: 10.2.0.1\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII),
                DiscoveryProtocol.encodeWatchRequest("10.2.0.1", 41));
        assertArrayEquals(
                "GET /v1/servers?watch=1 HTTP/1.1\r\nHost: 10.2.0.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
                DiscoveryProtocol.encodeWatchRequest("10.2.0.1", -1));
    }

    @Test
    void commandsToTheControlServiceHaveTheNamesOfTheProtocol() {
        assertEquals("SUB\r\n", text(ControlServiceProtocol.encodeSubscribe()));
        Map<Verdict, String> names = new EnumMap<>(Map.of(
                Verdict.NONE, "clear",
                Verdict.PROMOTE, "approve",
                Verdict.HOLD, "wait",
                Verdict.ROLL_BACK, "reject"));
        for (Verdict verdict : Verdict.values()) {
            assertEquals(
                    "SAY 42 1 " + names.get(verdict) + "\r\n",
                    text(ControlServiceProtocol.encodeVote(new CastVote(42, 1, verdict))));
        }
    }

    @Test
    void phasesAndRejectionsHaveTheNamesOfTheProtocol() throws Exception {
        assertEquals(RolloutPhase.CANARY, ControlServiceProtocol.phase("Progressing"));
        assertEquals(RolloutPhase.ROLLING_BACK, ControlServiceProtocol.phase("Aborting"));
        assertEquals(RolloutPhase.RELEASED, ControlServiceProtocol.phase("Healthy"));
        assertEquals(RolloutPhase.ROLLED_BACK, ControlServiceProtocol.phase("Aborted"));
        assertNull(ControlServiceProtocol.phase("progressing"));
        Map<String, ControlStatus> statuses = Map.of(
                "too_many_calls", ControlStatus.RATE_LIMITED,
                "out_of_date", ControlStatus.STALE,
                "unavailable", ControlStatus.FAILED,
                "bad_request", ControlStatus.FAILED);
        for (Map.Entry<String, ControlStatus> status : statuses.entrySet()) {
            assertEquals(
                    new VoteRejected(status.getValue()),
                    ControlServiceProtocol.parseVoteReply("ERR " + status.getKey()));
        }
    }

    @Test
    void fieldsOfTheControlServiceHaveTheNamesOfTheProtocol() {
        assertEquals(
                List.of("build", "stage", "phase", "cap", "age_ms", "class", "count", "failed", "mean_ms"),
                List.of(
                        ControlServiceProtocol.BUILD,
                        ControlServiceProtocol.STAGE,
                        ControlServiceProtocol.PHASE,
                        ControlServiceProtocol.CAP,
                        ControlServiceProtocol.AGE_MS,
                        ControlServiceProtocol.ROUTE,
                        ControlServiceProtocol.ATTEMPTS,
                        ControlServiceProtocol.FAILURES,
                        ControlServiceProtocol.MEAN_MS));
    }

    @Test
    void fieldsAndStatesOfDiscoveryHaveTheNamesOfTheProtocol() {
        assertEquals(
                List.of("version", "full", "servers"),
                List.of(DiscoveryProtocol.VERSION, DiscoveryProtocol.COMPLETE, DiscoveryProtocol.ENDPOINTS));
        assertEquals(
                List.of("id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms", "revision_no"),
                List.of(
                        DiscoveryProtocol.ID,
                        DiscoveryProtocol.ADDRESS,
                        DiscoveryProtocol.ZONE,
                        DiscoveryProtocol.KIND,
                        DiscoveryProtocol.CELL,
                        DiscoveryProtocol.STATE,
                        DiscoveryProtocol.WEIGHT,
                        DiscoveryProtocol.STARTED_AT,
                        DiscoveryProtocol.BUILD));
        assertEquals(EndpointState.ACTIVE, DiscoveryProtocol.state("active"));
        assertEquals(EndpointState.DRAINING, DiscoveryProtocol.state("leaving"));
        assertEquals(EndpointState.REMOVED, DiscoveryProtocol.state("left"));
        assertNull(DiscoveryProtocol.state("gone"));
    }

    @Test
    void theConfigurationHasTheNamesOfTheDeploymentPage() {
        assertEquals(
                List.of("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY"),
                List.of(
                        NodeConfigurationParser.NAME_VARIABLE,
                        NodeConfigurationParser.LISTEN_VARIABLE,
                        NodeConfigurationParser.DISCOVERY_VARIABLE));
        assertEquals(
                List.of("name", "listen", "discovery", "seed", "limits", "sockets", "rollouts", "address", "news"),
                List.of(
                        NodeConfigurationParser.NAME,
                        NodeConfigurationParser.LISTEN,
                        NodeConfigurationParser.DISCOVERY,
                        NodeConfigurationParser.SEED,
                        NodeConfigurationParser.LIMITS,
                        NodeConfigurationParser.SOCKETS,
                        NodeConfigurationParser.ROLLOUTS,
                        NodeConfigurationParser.ADDRESS,
                        NodeConfigurationParser.ROLLOUT_STATE));
        assertEquals("known", NodeConfigurationParser.CACHED_ENDPOINTS);
        assertEquals("settings", NodeConfigurationParser.SETTINGS);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
