package laurelkeel.options;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
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
 * The bench's options, path=value, as settings. A list of plain values is joined by commas; a list of objects has its
 * length under .count and its items under .0, .1 and so on. Keys that may be left out read as 0, off or none, keys
 * that are not known are passed over.
 */
public final class OptionsParser {
    private static final Map<String, Idempotency> EFFECTS = Map.of(
            "safe", Idempotency.IDEMPOTENT, "keyed", Idempotency.DEDUPLICATED, "unsafe", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, PromotionPolicy> CONTROLS = Map.of(
            "first_voice",
            PromotionPolicy.FIRST_VOTE,
            "by_count",
            PromotionPolicy.VOTE_COUNT,
            "automatic",
            PromotionPolicy.AUTOMATIC);
    private static final Map<String, Boolean> BOOLS = Map.of("true", true, "1", true, "false", false, "0", false);
    private static final Map<String, Boolean> ASKED = Map.of("push", false, "ask", true);
    private static final Map<String, Boolean> PER_ROUTE = Map.of("all", false, "each_class", true);
    private static final Map<String, Boolean> BY_WORK = Map.of("request", false, "work", true);
    private static final Map<String, DeduplicationScope> GROUPS =
            Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);

    /**
     * What only a front with real sockets needs beside the decider's settings. Times are tenths of a millisecond; 0
     * where the options leave one out.
     *
     * @param marksRepeats clients mark the reqs that they send again
     */
    public record SocketOptions(
            List<String> routes,
            List<String> tenants,
            List<String> zones,
            List<String> kinds,
            boolean clientsMarkRetries,
            long connectTimeoutTicks,
            long idleTimeoutTicks,
            int maxOpenRequests) {}

    private final Map<String, String> pairs;

    private OptionsParser(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    public static Settings settings(Map<String, String> pairs) {
        return new OptionsParser(pairs).settings();
    }

    public static SocketOptions socketOptions(Map<String, String> pairs) {
        OptionsParser o = new OptionsParser(pairs);
        return new SocketOptions(
                o.names("services"),
                o.names("orgs"),
                o.words("zones"),
                o.words("kinds"),
                o.on("callers.marksRetry"),
                o.time("allowed.dialTimeout"),
                o.time("allowed.idleClose"),
                o.whole("allowed.maxOpen"));
    }

    private List<String> names(String list) {
        List<String> out = new ArrayList<>();
        for (int i = 0; i < whole(list + ".count"); i++) {
            out.add(get(list + "." + i + ".name", "", "name", s -> s.isEmpty() ? null : s));
        }
        return out;
    }

    private List<String> words(String path) {
        return get(path, "", "list", s -> s.isEmpty() ? List.of() : List.of(s.split(",")));
    }

    private <T> T get(String path, String absent, String what, Function<String, T> parse) {
        String s = pairs.getOrDefault(path, absent);
        try {
            T t = parse.apply(s);
            if (t != null) {
                return t;
            }
        } catch (RuntimeException e) {
            throw new InvalidOptionException(path, "'" + s + "' is no " + what);
        }
        throw new InvalidOptionException(path, "'" + s + "' is unknown");
    }

    private double number(String path) {
        return get(path, "0", "number", Numbers::parseFinite);
    }

    private long time(String path) {
        return Numbers.millisToTicks(number(path));
    }

    private int whole(String path) {
        return get(path, "0", "whole number", s -> (int) Math.round(Numbers.parseFinite(s)));
    }

    private boolean on(String path) {
        return get(path, "false", "bool", s -> BOOLS.get(s.toLowerCase(Locale.ROOT)));
    }

    private List<Double> numbers(String path) {
        return get(
                path,
                "",
                "list of numbers",
                s -> s.isEmpty()
                        ? List.of()
                        : Arrays.stream(s.split(",")).map(Numbers::parseFinite).toList());
    }

    private Settings settings() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < whole("services.count"); i++) {
            String p = "services." + i + ".";
            routes.add(new Route(
                    get(p + "effect", "", "effect", EFFECTS::get),
                    get(p + "dedupScope", "all", "group", GROUPS::get),
                    time(p + "onTime"),
                    time(p + "deadline"),
                    number(p + "points"),
                    number(p + "lateValue"),
                    time(p + "repeatWindow")));
        }
        List<Tenant> customers = new ArrayList<>();
        for (int i = 0; i < whole("orgs.count"); i++) {
            customers.add(new Tenant(number("orgs." + i + ".quotaRps")));
        }
        String r = "familyInfo.";
        return new Settings(
                whole("selfIndex"),
                whole("balancers"),
                whole("zone"),
                routes,
                customers,
                new Limits(
                        time("rules.drainGrace"),
                        time("rules.cold"),
                        number("rules.coldFrom"),
                        time("rules.tipAfter"),
                        number("rules.tipMultiple"),
                        time("rules.askWithin")),
                new Capabilities(
                        whole("allowed.maxAttempts"),
                        on("allowed.mayProbe"),
                        on("allowed.mayTell"),
                        on("allowed.cancel"),
                        on("allowed.retryAfter"),
                        time("allowed.maxRetryAfter"),
                        get("membershipMode", "push", "mode", ASKED::get)),
                new Costs(
                        number("prices.crossZone"),
                        number("prices.probe"),
                        number("prices.peer"),
                        number(r + "staleBuildPrice"),
                        number(r + "damagePrice")),
                new Rollout(
                        get(r + "gateMode", "first_voice", "mode", CONTROLS::get),
                        whole(r + "votesToGo"),
                        whole(r + "noesNeeded"),
                        whole(r + "toPause"),
                        time(r + "voteTtl"),
                        time(r + "callTimeout"),
                        number(r + "votesPerS"),
                        numbers(r + "stageCap"),
                        time(r + "leastStage"),
                        whole(r + "guardedStages"),
                        on(r + "keysStay"),
                        time(r + "countedOver"),
                        number(r + "uncounted"),
                        get(r + "capScope", "all", "scope", PER_ROUTE::get),
                        time(r + "tally"),
                        number(r + "complaintShare")),
                get("valueBy", "request", "way", BY_WORK::get));
    }
}
