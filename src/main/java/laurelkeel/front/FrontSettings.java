package laurelkeel.front;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Settings;
import laurelkeel.config.IniFile;
import laurelkeel.config.IniSection;
import laurelkeel.config.InvalidSettingsException;
import laurelkeel.front.ingress.IngressSettings;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.front.upstream.UpstreamSettings;
import laurelkeel.wire.HttpLimits;

/**
 * All that a front is set to. Times are tenths of a millisecond. decisions is what the decider is told; the rest is
 * where things are and how much of each may be held.
 *
 * @param list where the list is served, and release the rollout's news; null for none
 * @param notes where notes of other fronts come in; null for none
 * @param state the folder that keeps the last list over a restart
 * @param records the file for what this front was told; null for none
 */
public record FrontSettings(
        Settings decisionSettings,
        long seed,
        List<String> zones,
        RouteTable routes,
        IngressSettings ingress,
        UpstreamSettings upstream,
        InetSocketAddress adminAddress,
        InetSocketAddress endpointListAddress,
        InetSocketAddress rolloutServiceAddress,
        InetSocketAddress gossipAddress,
        Map<Integer, InetSocketAddress> gossipPeers,
        Path stateDirectory,
        Path recordFile) {

    private enum ListMode {
        PUSH,
        ASK
    }

    private enum EarningsBy {
        REQ,
        WORK
    }

    /** Reads and checks a front's file; all its faults are told at once. */
    public static FrontSettings read(Path file) throws InvalidSettingsException {
        IniFile ini = IniFile.read(file);
        FrontSettings set = read(ini, file);
        ini.done();
        return set;
    }

    /** What all fronts of a fleet share: routes, customers, limits, what is allowed, prices, the rollout. */
    public record Common(
            List<Settings.Route> routes,
            RouteTable routeTable,
            List<Settings.Tenant> tenants,
            Settings.Limits limits,
            Settings.Capabilities capabilities,
            Settings.Costs costs,
            Settings.Rollout rollout) {

        /** The sections that hold it, for those who pass them on. */
        public static final List<String> SECTIONS =
                List.of("route", "customer", "limits", "allowed", "prices", "rollout", "clients", "machines");

        /** Reads it, and checks the sections clients and machines with it. */
        public static Common read(IniFile ini, boolean listAsked) {
            List<Settings.Route> routes = new ArrayList<>();
            List<RouteTable.Entry> table = new ArrayList<>();
            ini.each("route").forEach((name, s) -> {
                Settings.Route r = route(s);
                routes.add(r);
                table.add(new RouteTable.Entry(
                        name, s.text("method", "GET"), path(s), r.idempotency() == Settings.Idempotency.DEDUPLICATED));
            });
            if (routes.isEmpty()) {
                ini.missing("no route is set; add a section [route NAME] with path, effect, objective and timeout");
            }
            List<Settings.Tenant> customers = new ArrayList<>();
            List<String> names = new ArrayList<>();
            ini.each("customer").forEach((name, s) -> {
                names.add(name);
                customers.add(new Settings.Tenant(s.number("quota", null, 0, 1e9)));
            });
            IniSection doors = ini.section("clients", true);
            ingress(new InetSocketAddress("127.0.0.1", 0), doors);
            upstream(ini.section("machines", true));
            return new Common(
                    List.copyOf(routes),
                    new RouteTable(table, names),
                    List.copyOf(customers),
                    FrontSettings.limits(ini.section("limits", true)),
                    FrontSettings.allowed(ini.section("allowed", true), listAsked),
                    FrontSettings.prices(ini.section("prices", true)),
                    FrontSettings.rollout(ini.section("rollout", false)));
        }
    }

    private static FrontSettings read(IniFile ini, Path file) {
        IniSection front = ini.section("front", false);
        int fronts = front.small("fronts", null, 1, 100_000);
        int self = front.small("number", null, 0, 99_999);
        if (self >= fronts) {
            front.fault("number", "is " + self + " of " + fronts + " fronts; numbers begin at 0");
        }
        List<String> zones = front.words("zones", "here");
        String zone = front.text("zone", zones.isEmpty() ? "here" : zones.get(0));
        if (!zones.contains(zone)) {
            front.fault("zone", "is '" + zone + "'; zones names " + String.join(", ", zones));
        }
        IniSection list = ini.section("list", true);
        boolean asked = list.choice("mode", "push", ListMode.class) == ListMode.ASK;
        Common c = Common.read(ini, asked);
        Settings decisions = new Settings(
                self,
                fronts,
                Math.max(0, zones.indexOf(zone)),
                c.routes(),
                c.tenants(),
                c.limits(),
                c.capabilities(),
                c.costs(),
                c.rollout(),
                front.choice("earnings-by", "req", EarningsBy.class) == EarningsBy.WORK);
        Path base = file.toAbsolutePath().getParent();
        IniSection peers = ini.section("peers", true);
        Map<Integer, InetSocketAddress> at = new LinkedHashMap<>();
        for (String k : peers.keys()) {
            if (k.matches("\\d{1,5}")) {
                at.put(Integer.parseInt(k), peers.address(k, null));
            } else {
                peers.fault(k, "is no front's number; write as '1 = 127.0.0.1:9101'");
            }
        }
        return new FrontSettings(
                decisions,
                front.whole("seed", Integer.toString(self + 1), 0, Long.MAX_VALUE),
                zones,
                c.routeTable(),
                ingress(front.address("listen", null), ini.section("clients", true)),
                upstream(ini.section("machines", true)),
                optional(front, "admin"),
                optional(list, "address"),
                optional(ini.section("release", true), "address"),
                optional(front, "notes"),
                at,
                base.resolve(front.text("state", "state")),
                front.has("records") ? base.resolve(front.text("records", null)) : null);
    }

    private static InetSocketAddress optional(IniSection s, String key) {
        return s.has(key) ? s.address(key, null) : null;
    }

    private static String path(IniSection s) {
        String path = s.text("path", null);
        if (!path.startsWith("/")) {
            s.fault("path", "is '" + path + "'; write a prefix that begins with /");
        }
        return path;
    }

    private static Settings.Route route(IniSection s) {
        Settings.Idempotency effect = s.choice("effect", null, WireTerms.IDEMPOTENCY);
        long objective = s.time("objective", null, "1 ms", "1 h");
        long timeout = s.time("timeout", null, "20 ms", "24 h");
        long window =
                s.time("repeat-window", effect == Settings.Idempotency.DEDUPLICATED ? null : "0 ms", "0 ms", "24 h");
        if (objective > timeout) {
            s.fault("objective", "is longer than the route's timeout; make it shorter");
        }
        return new Settings.Route(
                effect,
                s.choice("group", "all", WireTerms.DEDUPLICATION_SCOPE),
                objective,
                timeout,
                s.number("earnings", "1", 0, 1e9),
                s.number("late-share", "0", 0, 1),
                window);
    }

    private static Settings.Limits limits(IniSection s) {
        return new Settings.Limits(
                s.time("drain-grace", "1 s", "0 ms", "1 h"),
                s.time("cold-for", "5 s", "0 ms", "1 h"),
                s.number("cold-from", "0.4", 0.01, 1),
                s.time("tip-after", "2 s", "10 ms", "1 h"),
                s.number("tip-multiple", "2.5", 1, 1000),
                s.time("ask-within", "10 s", "100 ms", "1 h"));
    }

    private static Settings.Capabilities allowed(IniSection s, boolean asked) {
        return new Settings.Capabilities(
                s.small("tries", "4", 1, 100),
                s.on("probes", "yes"),
                s.on("notes", "yes"),
                s.on("stops", "yes"),
                s.on("retry-after", "yes"),
                s.time("longest-retry-after", "1 s", "0 ms", "1 h"),
                asked);
    }

    private static Settings.Costs prices(IniSection s) {
        return new Settings.Costs(
                s.number("cross-zone", "0", 0, 100),
                s.number("probe", "0", 0, 100),
                s.number("note", "0", 0, 100),
                s.number("behind", "0.5", 0, 100),
                s.number("harm", "2", 0, 100));
    }

    private static Settings.Rollout rollout(IniSection s) {
        return new Settings.Rollout(
                s.choice("control", "count", WireTerms.PROMOTION_POLICY),
                s.small("on-votes", "1", 0, 100_000),
                s.small("back-votes", "1", 1, 100_000),
                s.small("hold-votes", "0", 0, 100_000),
                s.time("vote-life", "6 s", "100 ms", "1 h"),
                s.time("vote-timeout", "1 s", "10 ms", "1 h"),
                s.number("votes-per-second", "100", 0.1, 1e6),
                s.numbers("stage-caps", null, 0, 1),
                s.time("least-stage", "2 s", "0 ms", "24 h"),
                s.small("guarded-stages", "0", 0, 100),
                s.on("keys-stay", "yes"),
                s.time("window", "4 s", "100 ms", "1 h"),
                s.number("free", "3", 0, 1e6),
                s.on("per-route", "no"),
                s.time("counts-every", "0 ms", "0 ms", "1 h"),
                s.number("complaint-share", "0", 0, 1));
    }

    private static IngressSettings ingress(InetSocketAddress listen, IniSection s) {
        HttpLimits limits = new HttpLimits(
                (int) s.bytes("line", "8 KiB", "64 B", "1 MiB"),
                (int) s.bytes("header-bytes", "32 KiB", "256 B", "4 MiB"),
                s.small("headers", "100", 4, 10_000),
                (int) s.bytes("body", "1 MiB", "0 B", "256 MiB"));
        return new IngressSettings(
                listen,
                limits,
                s.small("connections", "20000", 1, 1_000_000),
                0,
                s.small("open-reqs", "20000", 1, 1_000_000),
                s.small("backlog", "8192", 16, 1_000_000),
                s.small("pipelined", "16", 1, 10_000),
                s.time("idle-close", "60 s", "100 ms", "24 h"),
                s.time("write-timeout", "10 s", "100 ms", "1 h"),
                s.small("threads", "2", 1, 64),
                s.time("drain-most", "30 s", "0 ms", "24 h"),
                0,
                0,
                0,
                0);
    }

    private static UpstreamSettings upstream(IniSection s) {
        HttpLimits limits = new HttpLimits(
                8 << 10,
                (int) s.bytes("header-bytes", "32 KiB", "256 B", "4 MiB"),
                s.small("headers", "100", 4, 10_000),
                (int) s.bytes("body", "4 MiB", "1 B", "256 MiB"));
        return new UpstreamSettings(
                limits,
                s.small("connections", "64", 1, 100_000),
                Integer.MAX_VALUE,
                s.small("waiting", "256", 0, 1_000_000),
                s.time("dial-timeout", "250 ms", "1 ms", "1 min"),
                s.time("idle-close", "15 s", "100 ms", "24 h"),
                s.small("threads", "2", 1, 64),
                s.text("probe-path", "/health"),
                s.time("probe-timeout", "1 s", "1 ms", "1 min"),
                0);
    }
}
