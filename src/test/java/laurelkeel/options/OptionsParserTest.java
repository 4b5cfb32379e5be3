package laurelkeel.options;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Capabilities;
import laurelkeel.api.Settings.Costs;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.Limits;
import laurelkeel.api.Settings.PromotionPolicy;
import laurelkeel.api.Settings.Rollout;
import laurelkeel.api.Settings.Route;
import laurelkeel.api.Settings.Tenant;
import org.junit.jupiter.api.Test;

/** The names and units of options are those documented for the simulator's protocol and the platform's settings. */
class OptionsParserTest {
    private static Map<String, String> options(String... pairs) {
        Map<String, String> options = new HashMap<>();
        for (String pair : pairs) {
            int end = pair.indexOf('=');
            options.put(pair.substring(0, end), pair.substring(end + 1));
        }
        return options;
    }

    private static Settings parse(String... pairs) {
        return OptionsParser.settings(options(pairs));
    }

    private static InvalidOptionException error(String... pairs) {
        return assertThrows(InvalidOptionException.class, () -> parse(pairs));
    }

    private static Rollout rollout(String... pairs) {
        return parse(pairs).rollout();
    }

    @Test
    void optionsOfRoutesAndTenantsAreParsed() {
        Settings settings = parse(
                "selfIndex=3",
                "balancers=5",
                "zone=1",
                "valueBy=work",
                "services.count=1",
                "services.0.effect=keyed",
                "services.0.dedupScope=cell",
                "services.0.onTime=300",
                "services.0.deadline=5000.25",
                "services.0.points=2",
                "services.0.lateValue=0.4",
                "services.0.repeatWindow=1000",
                "orgs.count=1",
                "orgs.0.quotaRps=99.5");
        assertEquals(3, settings.nodeIndex());
        assertEquals(5, settings.nodeCount());
        assertEquals(1, settings.zone());
        assertTrue(settings.valueByWork());
        assertEquals(
                List.of(new Route(Idempotency.DEDUPLICATED, DeduplicationScope.CELL, 3_000, 50_002, 2, 0.4, 10_000)),
                settings.routes());
        assertEquals(List.of(new Tenant(99.5)), settings.tenants());
    }

    @Test
    void optionsOfLimitsCapabilitiesAndCostsAreParsed() {
        Settings settings = parse(
                "rules.drainGrace=1000",
                "rules.cold=4000",
                "rules.coldFrom=0.4",
                "rules.tipAfter=3000",
                "rules.tipMultiple=2.5",
                "rules.askWithin=700",
                "allowed.maxAttempts=4",
                "allowed.mayProbe=true",
                "allowed.mayTell=1",
                "allowed.cancel=TRUE",
                "allowed.retryAfter=0",
                "allowed.maxRetryAfter=500",
                "membershipMode=ask",
                "prices.crossZone=0.1",
                "prices.probe=0.2",
                "prices.peer=0.3",
                "familyInfo.staleBuildPrice=0.4",
                "familyInfo.damagePrice=0.5");
        assertEquals(new Limits(10_000, 40_000, 0.4, 30_000, 2.5, 7_000), settings.limits());
        assertEquals(new Capabilities(4, true, true, true, false, 5_000, true), settings.capabilities());
        assertEquals(new Costs(0.1, 0.2, 0.3, 0.4, 0.5), settings.costs());
    }

    @Test
    void optionsOfTheRolloutAreParsed() {
        assertEquals(
                new Rollout(
                        PromotionPolicy.VOTE_COUNT,
                        1,
                        2,
                        3,
                        60_000,
                        8_000,
                        100,
                        List.of(0.1, 1.0),
                        50_000,
                        4,
                        true,
                        40_000,
                        5,
                        true,
                        10_000,
                        0.2),
                rollout(
                        "familyInfo.gateMode=by_count",
                        "familyInfo.votesToGo=1",
                        "familyInfo.noesNeeded=2",
                        "familyInfo.toPause=3",
                        "familyInfo.voteTtl=6000",
                        "familyInfo.callTimeout=800",
                        "familyInfo.votesPerS=100",
                        "familyInfo.stageCap=0.1,1.0",
                        "familyInfo.leastStage=5000",
                        "familyInfo.guardedStages=4",
                        "familyInfo.keysStay=true",
                        "familyInfo.countedOver=4000",
                        "familyInfo.uncounted=5",
                        "familyInfo.capScope=each_class",
                        "familyInfo.tally=1000",
                        "familyInfo.complaintShare=0.2"));
    }

    @Test
    void namedValuesAreParsed() {
        for (Map.Entry<String, Idempotency> each : Map.of(
                        "safe", Idempotency.IDEMPOTENT,
                        "keyed", Idempotency.DEDUPLICATED,
                        "unsafe", Idempotency.NOT_IDEMPOTENT)
                .entrySet()) {
            Settings settings = parse("services.count=1", "services.0.effect=" + each.getKey());
            assertEquals(each.getValue(), settings.routes().get(0).idempotency());
            assertEquals(DeduplicationScope.ALL, settings.routes().get(0).deduplicationScope());
        }
        assertEquals(
                PromotionPolicy.FIRST_VOTE,
                rollout("familyInfo.gateMode=first_voice").promotionPolicy());
        assertEquals(
                PromotionPolicy.AUTOMATIC,
                rollout("familyInfo.gateMode=automatic").promotionPolicy());
        assertFalse(parse("membershipMode=push").capabilities().endpointPolling());
        assertFalse(rollout("familyInfo.capScope=all").exposurePerRoute());
        assertFalse(parse("valueBy=request").valueByWork());
    }

    @Test
    void absentOptionsAreZeroFalseOrEmpty() {
        Settings settings = parse();
        assertEquals(List.of(), settings.routes());
        assertEquals(List.of(), settings.tenants());
        assertEquals(new Limits(0, 0, 0, 0, 0, 0), settings.limits());
        assertEquals(new Capabilities(0, false, false, false, false, 0, false), settings.capabilities());
        assertEquals(PromotionPolicy.FIRST_VOTE, settings.rollout().promotionPolicy());
        assertEquals(List.of(), settings.rollout().stageExposureCaps());
        assertEquals(
                new SocketOptions(List.of(), List.of(), List.of(), List.of(), false, 0, 0, 0),
                OptionsParser.socketOptions(Map.of("other", "x")));
    }

    @Test
    void socketOptionsAreParsed() {
        assertEquals(
                new SocketOptions(
                        List.of("look", "pay"),
                        List.of("acme"),
                        List.of("a", "b"),
                        List.of("m1"),
                        true,
                        2_500,
                        150_000,
                        2_000),
                OptionsParser.socketOptions(options(
                        "services.count=2",
                        "services.0.name=look",
                        "services.1.name=pay",
                        "orgs.count=1",
                        "orgs.0.name=acme",
                        "zones=a,b",
                        "kinds=m1",
                        "callers.marksRetry=true",
                        "allowed.dialTimeout=250",
                        "allowed.idleClose=15000",
                        "allowed.maxOpen=2000")));
    }

    @Test
    void errorsNameTheOptionAndTheReason() {
        InvalidOptionException unknown = error("services.count=1", "services.0.effect=odd");
        assertEquals("services.0.effect", unknown.path());
        assertEquals("'odd' is unknown", unknown.reason());
        assertEquals("services.0.effect: 'odd' is unknown", unknown.getMessage());
        assertEquals(
                "rules.cold: 'x' is not a valid number", error("rules.cold=x").getMessage());
        assertEquals(
                "rules.cold: 'NaN' is not a valid number",
                error("rules.cold=NaN").getMessage());
        assertEquals(
                "balancers: '' is not a valid whole number", error("balancers=").getMessage());
        assertEquals(
                "allowed.cancel: 'yes' is unknown", error("allowed.cancel=yes").getMessage());
        assertEquals(
                "familyInfo.stageCap: '0.1,x' is not a valid list of numbers",
                error("familyInfo.stageCap=0.1,x").getMessage());
        assertEquals(
                "services.0.name: '' is unknown",
                assertThrows(
                                InvalidOptionException.class,
                                () -> OptionsParser.socketOptions(Map.of("services.count", "1")))
                        .getMessage());
    }

    @Test
    void timesAreRoundedDownToWholeTicks() {
        assertEquals(2_900, Numbers.millisToTicks(290));
        assertEquals(2, Numbers.millisToTicks(0.29));
        assertEquals(3, Numbers.millisToTicks(0.1 + 0.2));
    }
}
