package laurelkeel.front;

import static laurelkeel.config.IniSection.REQUIRED;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Settings;
import laurelkeel.config.IniFile;
import laurelkeel.config.IniSection;
import laurelkeel.front.ingress.RouteTable;

/** Reads the sections that all front nodes of a fleet share. Keys, defaults and bounds: docs/front.md. */
final class FleetSettingsReader {
    /** Placeholder for the listen address, which is not needed to check the section of client connections. */
    private static final InetSocketAddress PLACEHOLDER_ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private FleetSettingsReader() {}

    static FleetSettings read(IniFile file, boolean endpointPolling) {
        List<Settings.Route> routes = new ArrayList<>();
        List<RouteTable.Entry> entries = new ArrayList<>();
        file.sectionsOfKind("route").forEach((name, section) -> {
            Settings.Route route = readRoute(section);
            routes.add(route);
            entries.add(readRouteEntry(name, section, route));
        });
        if (routes.isEmpty()) {
            file.addError("no route is set; add a section [route NAME] with path, effect, objective and timeout");
        }
        List<Settings.Tenant> tenants = new ArrayList<>();
        List<String> tenantNames = new ArrayList<>();
        file.sectionsOfKind("customer").forEach((name, section) -> {
            tenantNames.add(name);
            tenants.add(new Settings.Tenant(section.doubleValue("quota", REQUIRED, 0, 1e9)));
        });
        // only checked here; FrontSettingsReader reads these sections again, with the node's listen address
        ConnectionSettingsReader.readIngress(PLACEHOLDER_ADDRESS, file.section("clients", true));
        ConnectionSettingsReader.readUpstream(file.section("machines", true));
        return new FleetSettings(
                List.copyOf(routes),
                new RouteTable(entries, tenantNames),
                List.copyOf(tenants),
                readLimits(file.section("limits", true)),
                readCapabilities(file.section("allowed", true), endpointPolling),
                readCosts(file.section("prices", true)),
                readRollout(file.section("rollout", false)));
    }

    private static Settings.Route readRoute(IniSection section) {
        Settings.Idempotency idempotency = section.choice("effect", REQUIRED, WireTerms.IDEMPOTENCY);
        long objective = section.durationTicks("objective", REQUIRED, "1 ms", "1 h");
        long timeout = section.durationTicks("timeout", REQUIRED, "20 ms", "24 h");
        String defaultWindow = idempotency == Settings.Idempotency.DEDUPLICATED ? REQUIRED : "0 ms";
        long deduplicationWindow = section.durationTicks("repeat-window", defaultWindow, "0 ms", "24 h");
        if (objective > timeout) {
            section.addError("objective", "is longer than the route's timeout; make it shorter");
        }
        return new Settings.Route(
                idempotency,
                section.choice("group", "all", WireTerms.DEDUPLICATION_SCOPE),
                objective,
                timeout,
                section.doubleValue("earnings", "1", 0, 1e9),
                section.doubleValue("late-share", "0", 0, 1),
                deduplicationWindow);
    }

    private static RouteTable.Entry readRouteEntry(String name, IniSection section, Settings.Route route) {
        return new RouteTable.Entry(
                name,
                section.stringValue("method", "GET"),
                readPathPrefix(section),
                route.idempotency() == Settings.Idempotency.DEDUPLICATED);
    }

    private static String readPathPrefix(IniSection section) {
        String path = section.stringValue("path", REQUIRED);
        if (!path.startsWith("/")) {
            section.addError("path", "is '" + path + "'; write a prefix that begins with /");
        }
        return path;
    }

    private static Settings.Limits readLimits(IniSection section) {
        return new Settings.Limits(
                section.durationTicks("drain-grace", "1 s", "0 ms", "1 h"),
                section.durationTicks("cold-for", "5 s", "0 ms", "1 h"),
                section.doubleValue("cold-from", "0.4", 0.01, 1),
                section.durationTicks("tip-after", "2 s", "10 ms", "1 h"),
                section.doubleValue("tip-multiple", "2.5", 1, 1000),
                section.durationTicks("ask-within", "10 s", "100 ms", "1 h"));
    }

    private static Settings.Capabilities readCapabilities(IniSection section, boolean endpointPolling) {
        return new Settings.Capabilities(
                section.intValue("tries", "4", 1, 100),
                section.booleanValue("probes", "yes"),
                section.booleanValue("notes", "yes"),
                section.booleanValue("stops", "yes"),
                section.booleanValue("retry-after", "yes"),
                section.durationTicks("longest-retry-after", "1 s", "0 ms", "1 h"),
                endpointPolling);
    }

    private static Settings.Costs readCosts(IniSection section) {
        return new Settings.Costs(
                section.doubleValue("cross-zone", "0", 0, 100),
                section.doubleValue("probe", "0", 0, 100),
                section.doubleValue("note", "0", 0, 100),
                section.doubleValue("behind", "0.5", 0, 100),
                section.doubleValue("harm", "2", 0, 100));
    }

    private static Settings.Rollout readRollout(IniSection section) {
        return new Settings.Rollout(
                section.choice("control", "count", WireTerms.PROMOTION_POLICY),
                section.intValue("on-votes", "1", 0, 100_000),
                section.intValue("back-votes", "1", 1, 100_000),
                section.intValue("hold-votes", "0", 0, 100_000),
                section.durationTicks("vote-life", "6 s", "100 ms", "1 h"),
                section.durationTicks("vote-timeout", "1 s", "10 ms", "1 h"),
                section.doubleValue("votes-per-second", "100", 0.1, 1e6),
                section.doubleList("stage-caps", REQUIRED, 0, 1),
                section.durationTicks("least-stage", "2 s", "0 ms", "24 h"),
                section.intValue("guarded-stages", "0", 0, 100),
                section.booleanValue("keys-stay", "yes"),
                section.durationTicks("window", "4 s", "100 ms", "1 h"),
                section.doubleValue("free", "3", 0, 1e6),
                section.booleanValue("per-route", "no"),
                section.durationTicks("counts-every", "0 ms", "0 ms", "1 h"),
                section.doubleValue("complaint-share", "0", 0, 1));
    }
}
