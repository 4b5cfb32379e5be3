package laurelkeel.options;

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

/**
 * Parses options, which are pairs of a path and a value, into settings.
 *
 * <p>A list of plain values is separated by commas. A list of objects has its length under {@code count} and its items
 * under 0, 1 and so on. An absent option reads as 0, false or an empty list; an unknown option is ignored. Thread-safe.
 */
public final class OptionsParser {
    /** The path of the list of routes. */
    public static final String ROUTES = "services";

    /** The path of the list of exposure caps. */
    public static final String STAGE_EXPOSURE_CAPS = "familyInfo.stageCap";

    private static final String TENANTS = "orgs";
    private static final String LIMITS = "rules.";
    private static final String CAPABILITIES = "allowed.";
    private static final String COSTS = "prices.";
    private static final String ROLLOUT = "familyInfo.";

    private static final Map<String, Idempotency> IDEMPOTENCY = Map.of(
            "safe", Idempotency.IDEMPOTENT,
            "keyed", Idempotency.DEDUPLICATED,
            "unsafe", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES = Map.of(
            "all", DeduplicationScope.ALL,
            "zone", DeduplicationScope.ZONE,
            "cell", DeduplicationScope.CELL);
    private static final Map<String, PromotionPolicy> PROMOTION_POLICIES = Map.of(
            "first_voice", PromotionPolicy.FIRST_VOTE,
            "by_count", PromotionPolicy.VOTE_COUNT,
            "automatic", PromotionPolicy.AUTOMATIC);
    private static final Map<String, Boolean> ENDPOINT_POLLING = Map.of("push", false, "ask", true);
    private static final Map<String, Boolean> EXPOSURE_PER_ROUTE = Map.of("all", false, "each_class", true);
    private static final Map<String, Boolean> VALUE_BY_WORK = Map.of("request", false, "work", true);

    private final OptionReader options;

    private OptionsParser(Map<String, String> options) {
        this.options = new OptionReader(options);
    }

    /**
     * Parses the settings of the routing decisions.
     *
     * @param options values by their paths
     * @throws InvalidOptionException if a value cannot be parsed
     */
    public static Settings settings(Map<String, String> options) {
        return new OptionsParser(options).parseSettings();
    }

    /**
     * Parses the options that are needed only by a front node with sockets.
     *
     * @param options values by their paths
     * @throws InvalidOptionException if a value cannot be parsed
     */
    public static SocketOptions socketOptions(Map<String, String> options) {
        return new OptionsParser(options).parseSocketOptions();
    }

    private SocketOptions parseSocketOptions() {
        return new SocketOptions(
                options.names(ROUTES),
                options.names(TENANTS),
                options.strings("zones"),
                options.strings("kinds"),
                options.flag("callers.marksRetry"),
                options.ticks(CAPABILITIES + "dialTimeout"),
                options.ticks(CAPABILITIES + "idleClose"),
                options.wholeNumber(CAPABILITIES + "maxOpen"));
    }

    private Settings parseSettings() {
        List<Route> routes =
                options.itemPaths(ROUTES).stream().map(this::parseRoute).toList();
        List<Tenant> tenants = options.itemPaths(TENANTS).stream()
                .map(itemPath -> new Tenant(options.number(itemPath + ".quotaRps")))
                .toList();
        return new Settings(
                options.wholeNumber("selfIndex"),
                options.wholeNumber("balancers"),
                options.wholeNumber("zone"),
                routes,
                tenants,
                parseLimits(),
                parseCapabilities(),
                parseCosts(),
                parseRollout(),
                options.choice("valueBy", "request", "way", VALUE_BY_WORK));
    }

    private Route parseRoute(String itemPath) {
        return new Route(
                options.choice(itemPath + ".effect", "", "effect", IDEMPOTENCY),
                options.choice(itemPath + ".dedupScope", "all", "group", DEDUPLICATION_SCOPES),
                options.ticks(itemPath + ".onTime"),
                options.ticks(itemPath + ".deadline"),
                options.number(itemPath + ".points"),
                options.number(itemPath + ".lateValue"),
                options.ticks(itemPath + ".repeatWindow"));
    }

    private Limits parseLimits() {
        return new Limits(
                options.ticks(LIMITS + "drainGrace"),
                options.ticks(LIMITS + "cold"),
                options.number(LIMITS + "coldFrom"),
                options.ticks(LIMITS + "tipAfter"),
                options.number(LIMITS + "tipMultiple"),
                options.ticks(LIMITS + "askWithin"));
    }

    private Capabilities parseCapabilities() {
        return new Capabilities(
                options.wholeNumber(CAPABILITIES + "maxAttempts"),
                options.flag(CAPABILITIES + "mayProbe"),
                options.flag(CAPABILITIES + "mayTell"),
                options.flag(CAPABILITIES + "cancel"),
                options.flag(CAPABILITIES + "retryAfter"),
                options.ticks(CAPABILITIES + "maxRetryAfter"),
                options.choice("membershipMode", "push", "mode", ENDPOINT_POLLING));
    }

    private Costs parseCosts() {
        return new Costs(
                options.number(COSTS + "crossZone"),
                options.number(COSTS + "probe"),
                options.number(COSTS + "peer"),
                options.number(ROLLOUT + "staleBuildPrice"),
                options.number(ROLLOUT + "damagePrice"));
    }

    private Rollout parseRollout() {
        return new Rollout(
                options.choice(ROLLOUT + "gateMode", "first_voice", "mode", PROMOTION_POLICIES),
                options.wholeNumber(ROLLOUT + "votesToGo"),
                options.wholeNumber(ROLLOUT + "noesNeeded"),
                options.wholeNumber(ROLLOUT + "toPause"),
                options.ticks(ROLLOUT + "voteTtl"),
                options.ticks(ROLLOUT + "callTimeout"),
                options.number(ROLLOUT + "votesPerS"),
                options.numbers(STAGE_EXPOSURE_CAPS),
                options.ticks(ROLLOUT + "leastStage"),
                options.wholeNumber(ROLLOUT + "guardedStages"),
                options.flag(ROLLOUT + "keysStay"),
                options.ticks(ROLLOUT + "countedOver"),
                options.number(ROLLOUT + "uncounted"),
                options.choice(ROLLOUT + "capScope", "all", "scope", EXPOSURE_PER_ROUTE),
                options.ticks(ROLLOUT + "tally"),
                options.number(ROLLOUT + "complaintShare"));
    }
}
