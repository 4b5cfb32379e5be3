package laurelkeel.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Settings;
import laurelkeel.config.IniFile;
import laurelkeel.config.IniSection;
import laurelkeel.config.InvalidSettingsException;
import laurelkeel.front.FleetSettings;
import laurelkeel.front.WireTerms;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.BuildProfile;
import laurelkeel.testbed.LoadProfile;
import laurelkeel.testbed.LoadRoute;
import laurelkeel.testbed.PromotionPolicy;
import laurelkeel.testbed.ReplacementStyle;
import laurelkeel.testbed.RolloutPolicy;
import laurelkeel.testbed.ServerProfile;
import laurelkeel.text.DecimalNumbers;

/** Reads a scenario's file. Not thread-safe; each instance reads once. */
final class ScenarioReader {
    private static final Map<String, Boolean> POLLING_BY_LIST_MODE = pollingByListMode();
    private static final String BUILD_NUMBER = "\\d{1,5}";

    private final IniFile file;
    private final Map<String, Long> workTicks = new LinkedHashMap<>();
    private final Map<String, TrafficRecord.RoutePolicy> routePolicies = new HashMap<>();
    private final List<LoadRoute> routes = new ArrayList<>();

    ScenarioReader(IniFile file) {
        this.file = file;
    }

    /** Returns whether the endpoint list is polled, by the name of the mode. */
    private static Map<String, Boolean> pollingByListMode() {
        Map<String, Boolean> pollingByListMode = new LinkedHashMap<>();
        pollingByListMode.put("push", false);
        pollingByListMode.put("ask", true);
        return pollingByListMode;
    }

    /** @throws InvalidSettingsException if the file has errors; its message lists all of them */
    Scenario read(String name) throws InvalidSettingsException {
        IniSection day = file.section("day", false);
        int nodeCount = day.intValue("fronts", "4", 1, 64);
        List<String> zones = day.stringList("zones", "here");
        IniSection list = file.section("list", true);
        boolean isPolled = list.choice("mode", "push", POLLING_BY_LIST_MODE);
        FleetSettings common = FleetSettings.read(file, isPolled);
        readRoutes(common);
        LoadProfile loadProfile = readLoadProfile();
        Map<Integer, BuildProfile> builds = readBuilds();
        List<ScenarioFault> faults = readFaults(nodeCount, builds);
        Scenario scenario = new Scenario(
                name,
                day.durationTicks("length", "60 s", "1 s", "24 h"),
                nodeCount,
                day.intValue("machines", "12", 1, 5000),
                zones,
                day.longValue("seed", "1", 0, Long.MAX_VALUE),
                common,
                file.copySections(FleetSettings.SECTIONS),
                isPolled,
                list.durationTicks("lag", "300 ms", "0 ms", "1 h"),
                list.intValue("calls-per-second", "50", 1, 1_000_000),
                readServerProfile(common.limits()),
                loadProfile,
                readRolloutPolicy(common.rollout()),
                builds,
                faults);
        file.throwIfInvalid();
        return scenario;
    }

    private void readRoutes(FleetSettings common) {
        IniSection work = file.section("work", false);
        IniSection share = file.section("share", true);
        for (int i = 0; i < common.routes().size(); i++) {
            RouteTable.Entry entry = common.routeTable().entries().get(i);
            Settings.Route route = common.routes().get(i);
            TrafficRecord.RoutePolicy policy = new TrafficRecord.RoutePolicy(
                    entry.name(),
                    WireTerms.recorded(route.idempotency()),
                    WireTerms.recorded(route.deduplicationScope()),
                    route.deduplicationWindowTicks());
            routePolicies.put(entry.name(), policy);
            workTicks.put(entry.name(), work.durationTicks(entry.name(), IniSection.REQUIRED, "1 ms", "1 min"));
            routes.add(new LoadRoute(
                    entry.name(),
                    entry.method(),
                    entry.prefix(),
                    policy,
                    route.timeoutTicks(),
                    share.doubleValue(entry.name(), "1", 0, 1e6)));
        }
    }

    private LoadProfile readLoadProfile() {
        Map<String, Double> tenantShares = new LinkedHashMap<>();
        IniSection asks = file.section("asks", true);
        for (String tenant : file.sectionsOfKind("customer").keySet()) {
            tenantShares.put(tenant, asks.doubleValue(tenant, "1", 0, 1e6));
        }
        IniSection load = file.section("load", true);
        return new LoadProfile(
                routes,
                tenantShares,
                load.doubleValue("rate", "200", 0.1, 100_000),
                load.intValue("keys", "1000", 1, 10_000_000),
                load.doubleValue("popular", "0.8", 0, 5),
                load.doubleValue("keyless", "0.1", 0, 1),
                load.intValue("retries", "2", 0, 100),
                load.doubleValue("leave-early", "0", 0, 1),
                load.doubleValue("complain", "0.3", 0, 1));
    }

    private Map<Integer, BuildProfile> readBuilds() {
        Map<Integer, BuildProfile> builds = new HashMap<>();
        file.sectionsOfKind("build").forEach((name, section) -> {
            Map<String, Double> failureShares = readFailureShares(section);
            if (name.matches(BUILD_NUMBER)) {
                BuildProfile build = readBuild(DecimalNumbers.parseInt(name), section, failureShares);
                builds.put(build.number(), build);
            } else {
                section.addError("work", "belongs to build '" + name + "'; a build must be a whole number");
            }
        });
        return builds;
    }

    private Map<String, Double> readFailureShares(IniSection section) {
        Map<String, Double> failureShares = new HashMap<>();
        for (String route : workTicks.keySet()) {
            String defaultShare = section.has("failing") ? section.stringValue("failing", "0") : "0";
            failureShares.put(route, section.doubleValue("failing-" + route, defaultShare, 0, 1));
        }
        return failureShares;
    }

    private static BuildProfile readBuild(int number, IniSection section, Map<String, Double> failureShares) {
        return new BuildProfile(
                number,
                section.doubleValue("work", "1", 0.01, 1000),
                failureShares,
                section.doubleValue("failing-busy", "0", 0, 1),
                section.doubleValue("wrong", "0", 0, 1),
                section.doubleValue("work-busy", "1", 0.01, 1000),
                section.durationTicks("fails-after", "0 ms", "0 ms", "24 h"),
                section.intValue("together-with", "0", 0, 65_535),
                section.doubleValue("harms-all", "1", 1, 1000));
    }

    private List<ScenarioFault> readFaults(int nodeCount, Map<Integer, BuildProfile> builds) {
        List<ScenarioFault> faults = new ArrayList<>();
        file.sectionsOfKind("event").forEach((name, section) -> {
            ScenarioFault fault = ScenarioFault.read(name, section, nodeCount);
            if (fault.kind() == ScenarioFault.Kind.OFFER_BUILD && !builds.containsKey(fault.build())) {
                section.addError(
                        "build",
                        "is " + fault.build() + ", which the file does not describe; add a section [build "
                                + fault.build() + "]");
            }
            faults.add(fault);
        });
        faults.sort(Comparator.comparingLong(ScenarioFault::startTicks));
        return faults;
    }

    private ServerProfile readServerProfile(Settings.Limits limits) {
        IniSection fleet = file.section("fleet", true);
        return new ServerProfile(
                fleet.intValue("cores", "2", 1, 1024),
                fleet.intValue("room", "40", 0, 1_000_000),
                fleet.intValue("connections", "400", 1, 1_000_000),
                workTicks,
                routePolicies,
                limits.warmUpInitialShare(),
                limits.warmUpTicks(),
                limits.overloadMultiple(),
                limits.overloadWindowTicks(),
                fleet.doubleValue("warm-keys", "0.2", 0, 0.99),
                fleet.durationTicks("key-memory", "5 s", "0 ms", "1 h"),
                fleet.durationTicks("load-every", "200 ms", "0 ms", "1 min"),
                (int) fleet.byteSize("answer", "200 B", "0 B", "1 MiB"));
    }

    private RolloutPolicy readRolloutPolicy(Settings.Rollout rollout) {
        IniSection line = file.section("line", true);
        List<Double> shares = line.doubleList("shares", "0.1, 0.4, 1", 0.001, 1);
        int stages = rollout.stageExposureCaps().size();
        if (shares.size() != stages) {
            line.addError(
                    "shares",
                    "has " + shares.size() + " stages and stage-caps of [rollout] has " + stages
                            + "; both need the same number");
        }
        return new RolloutPolicy(
                shares,
                rollout.stageExposureCaps(),
                promotionPolicy(rollout.promotionPolicy()),
                line.choice("style", "replace", ReplacementStyle.class),
                rollout.promoteVotes(),
                rollout.rollBackVotes(),
                rollout.holdVotes(),
                rollout.minStageTicks(),
                rollout.voteLifetimeTicks(),
                rollout.votesPerSecond(),
                line.durationTicks("news-lag", "300 ms", "0 ms", "1 h"),
                line.durationTicks("news-every", "3 s", "100 ms", "1 h"),
                line.durationTicks("start-time", "1 s", "0 ms", "1 h"),
                line.durationTicks("drain-most", "4 s", "0 ms", "1 h"),
                line.intValue("together", "1", 1, 3));
    }

    private static PromotionPolicy promotionPolicy(Settings.PromotionPolicy policy) {
        return switch (policy) {
            case FIRST_VOTE -> PromotionPolicy.FIRST_VOTE;
            case VOTE_COUNT -> PromotionPolicy.VOTE_COUNT;
            case AUTOMATIC -> PromotionPolicy.AUTOMATIC;
        };
    }
}
