package laurelkeel.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
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
import laurelkeel.testbed.LoadGenerator;
import laurelkeel.testbed.RolloutService;
import laurelkeel.testbed.ServerProfile;

/**
 * A day file, read and checked. docs/day.md explains each key. Times are tenths of a millisecond.
 *
 * @param frontSections what goes into each front's own file as it stands
 */
public record Scenario(
        String name,
        long durationTicks,
        int nodeCount,
        int serverCount,
        List<String> zones,
        long seed,
        FleetSettings commonSettings,
        String nodeSections,
        boolean endpointListPolled,
        long endpointListDelayTicks,
        int endpointListCallsPerSecond,
        ServerProfile serverProfile,
        LoadGenerator.LoadProfile loadProfile,
        RolloutService.RolloutPolicy rolloutPolicy,
        Map<Integer, BuildProfile> builds,
        List<ScenarioFault> faults) {

    private enum ListMode {
        PUSH,
        ASK
    }

    /** The days that come with the program. */
    public static final List<String> SHIPPED =
            List.of("bad-day", "lost-answers", "cold-returns", "stale-news", "two-releases", "three-releases");

    /** One of the shipped days by its name, or a file. */
    public static Scenario find(String nameOrFile) throws InvalidSettingsException {
        if (SHIPPED.contains(nameOrFile)) {
            try (InputStream in = Scenario.class.getResourceAsStream("/days/" + nameOrFile + ".ini")) {
                return read(
                        IniFile.parse(nameOrFile + ".ini", new String(in.readAllBytes(), StandardCharsets.UTF_8)),
                        nameOrFile);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
        Path file = Path.of(nameOrFile);
        return read(IniFile.read(file), String.valueOf(file.getFileName()).replaceAll("\\.ini$", ""));
    }

    public static Scenario read(IniFile ini, String name) throws InvalidSettingsException {
        IniSection day = ini.section("day", false);
        int fronts = day.intValue("fronts", "4", 1, 64);
        List<String> zones = day.stringList("zones", "here");
        IniSection list = ini.section("list", true);
        boolean asked = list.choice("mode", "push", ListMode.class) == ListMode.ASK;
        FleetSettings common = FleetSettings.read(ini, asked);
        IniSection work = ini.section("work", false);
        IniSection share = ini.section("share", true);
        Map<String, Long> works = new LinkedHashMap<>();
        Map<String, TrafficRecord.RoutePolicy> rules = new HashMap<>();
        List<LoadGenerator.LoadRoute> routes = new ArrayList<>();
        for (int i = 0; i < common.routes().size(); i++) {
            RouteTable.Entry e = common.routeTable().entries().get(i);
            Settings.Route r = common.routes().get(i);
            TrafficRecord.RoutePolicy rule = new TrafficRecord.RoutePolicy(
                    e.name(),
                    WireTerms.recorded(r.idempotency()),
                    WireTerms.recorded(r.deduplicationScope()),
                    r.deduplicationWindowTicks());
            rules.put(e.name(), rule);
            works.put(e.name(), work.durationTicks(e.name(), null, "1 ms", "1 min"));
            routes.add(new LoadGenerator.LoadRoute(
                    e.name(),
                    e.method(),
                    e.prefix(),
                    rule,
                    r.timeoutTicks(),
                    share.doubleValue(e.name(), "1", 0, 1e6)));
        }
        Map<String, Double> customers = new LinkedHashMap<>();
        IniSection asks = ini.section("asks", true);
        for (String c : ini.sectionsOfKind("customer").keySet()) {
            customers.put(c, asks.doubleValue(c, "1", 0, 1e6));
        }
        IniSection load = ini.section("load", true);
        LoadGenerator.LoadProfile clients = new LoadGenerator.LoadProfile(
                routes,
                customers,
                load.doubleValue("rate", "200", 0.1, 100_000),
                load.intValue("keys", "1000", 1, 10_000_000),
                load.doubleValue("popular", "0.8", 0, 5),
                load.doubleValue("keyless", "0.1", 0, 1),
                load.intValue("retries", "2", 0, 100),
                load.doubleValue("leave-early", "0", 0, 1),
                load.doubleValue("complain", "0.3", 0, 1));
        Map<Integer, BuildProfile> builds = new HashMap<>();
        ini.sectionsOfKind("build").forEach((n, s) -> {
            Map<String, Double> failing = new HashMap<>();
            for (String route : works.keySet()) {
                failing.put(
                        route,
                        s.doubleValue(
                                "failing-" + route, s.has("failing") ? s.stringValue("failing", "0") : "0", 0, 1));
            }
            if (!n.matches("\\d{1,5}")) {
                s.addError("work", "is of build '" + n + "'; a build is a whole number");
            } else {
                builds.put(
                        Integer.parseInt(n),
                        new BuildProfile(
                                Integer.parseInt(n),
                                s.doubleValue("work", "1", 0.01, 1000),
                                failing,
                                s.doubleValue("failing-busy", "0", 0, 1),
                                s.doubleValue("wrong", "0", 0, 1),
                                s.doubleValue("work-busy", "1", 0.01, 1000),
                                s.durationTicks("fails-after", "0 ms", "0 ms", "24 h"),
                                s.intValue("together-with", "0", 0, 65_535),
                                s.doubleValue("harms-all", "1", 1, 1000)));
            }
        });
        List<ScenarioFault> troubles = new ArrayList<>();
        ini.sectionsOfKind("event").forEach((n, s) -> {
            ScenarioFault t = ScenarioFault.read(n, s, fronts);
            if (t.kind() == ScenarioFault.Kind.OFFER && !builds.containsKey(t.build())) {
                s.addError(
                        "build",
                        "is " + t.build() + ", of which nothing is said; add a section [build " + t.build() + "]");
            }
            troubles.add(t);
        });
        troubles.sort(Comparator.comparingLong(ScenarioFault::startTicks));
        Scenario plan = new Scenario(
                name,
                day.durationTicks("length", "60 s", "1 s", "24 h"),
                fronts,
                day.intValue("machines", "12", 1, 5000),
                zones,
                day.longValue("seed", "1", 0, Long.MAX_VALUE),
                common,
                ini.copySections(FleetSettings.SECTIONS),
                asked,
                list.durationTicks("lag", "300 ms", "0 ms", "1 h"),
                list.intValue("calls-per-second", "50", 1, 1_000_000),
                serverProfile(ini.section("fleet", true), common.limits(), works, rules),
                clients,
                rolloutPolicy(ini, common.rollout()),
                builds,
                troubles);
        ini.throwIfInvalid();
        return plan;
    }

    private static ServerProfile serverProfile(
            IniSection s, Settings.Limits l, Map<String, Long> works, Map<String, TrafficRecord.RoutePolicy> rules) {
        return new ServerProfile(
                s.intValue("cores", "2", 1, 1024),
                s.intValue("room", "40", 0, 1_000_000),
                s.intValue("connections", "400", 1, 1_000_000),
                works,
                rules,
                l.warmUpInitialShare(),
                l.warmUpTicks(),
                l.overloadMultiple(),
                l.overloadWindowTicks(),
                s.doubleValue("warm-keys", "0.2", 0, 0.99),
                s.durationTicks("key-memory", "5 s", "0 ms", "1 h"),
                s.durationTicks("load-every", "200 ms", "0 ms", "1 min"),
                (int) s.byteSize("answer", "200 B", "0 B", "1 MiB"));
    }

    private static RolloutService.PromotionPolicy control(Settings.PromotionPolicy policy) {
        return switch (policy) {
            case FIRST_VOTE -> RolloutService.PromotionPolicy.FIRST_VOTE;
            case VOTE_COUNT -> RolloutService.PromotionPolicy.VOTE_COUNT;
            case AUTOMATIC -> RolloutService.PromotionPolicy.AUTOMATIC;
        };
    }

    private static RolloutService.RolloutPolicy rolloutPolicy(IniFile ini, Settings.Rollout r) {
        IniSection s = ini.section("line", true);
        List<Double> shares = s.doubleList("shares", "0.1, 0.4, 1", 0.001, 1);
        if (shares.size() != r.stageExposureCaps().size()) {
            s.addError(
                    "shares",
                    "has " + shares.size() + " stages and stage-caps of [rollout] has "
                            + r.stageExposureCaps().size() + "; give both as many");
        }
        return new RolloutService.RolloutPolicy(
                shares,
                r.stageExposureCaps(),
                control(r.promotionPolicy()),
                s.choice("style", "replace", RolloutService.ReplacementStyle.class),
                r.promoteVotes(),
                r.rollBackVotes(),
                r.holdVotes(),
                r.minStageTicks(),
                r.voteLifetimeTicks(),
                r.votesPerSecond(),
                s.durationTicks("news-lag", "300 ms", "0 ms", "1 h"),
                s.durationTicks("news-every", "3 s", "100 ms", "1 h"),
                s.durationTicks("start-time", "1 s", "0 ms", "1 h"),
                s.durationTicks("drain-most", "4 s", "0 ms", "1 h"),
                s.intValue("together", "1", 1, 3));
    }

    /** The figures that the audit needs. */
    public TrafficRecord.AuditParameters auditParameters() {
        Settings.Rollout r = commonSettings.rollout();
        return new TrafficRecord.AuditParameters(
                0,
                loadProfile.routes().stream()
                        .map(LoadGenerator.LoadRoute::policy)
                        .toList(),
                commonSettings.limits().drainGraceTicks(),
                r.exposureWindowTicks(),
                r.exposureAllowance(),
                r.exposurePerRoute(),
                r.guardedStages(),
                r.stickyKeys(),
                r.stageExposureCaps());
    }
}
