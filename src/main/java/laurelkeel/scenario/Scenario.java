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
import laurelkeel.front.FrontSettings.Common;
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
        long length,
        int fronts,
        int machines,
        List<String> zones,
        long seed,
        Common common,
        String frontSections,
        boolean listAsked,
        long listLag,
        int listCalls,
        ServerProfile shape,
        LoadGenerator.Rule load,
        RolloutService.Rule line,
        Map<Integer, BuildProfile> builds,
        List<ScenarioFault> troubles) {

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
        int fronts = day.small("fronts", "4", 1, 64);
        List<String> zones = day.words("zones", "here");
        IniSection list = ini.section("list", true);
        boolean asked = list.choice("mode", "push", ListMode.class) == ListMode.ASK;
        Common common = Common.read(ini, asked);
        IniSection work = ini.section("work", false);
        IniSection share = ini.section("share", true);
        Map<String, Long> works = new LinkedHashMap<>();
        Map<String, TrafficRecord.RouteRule> rules = new HashMap<>();
        List<LoadGenerator.Route> routes = new ArrayList<>();
        for (int i = 0; i < common.routes().size(); i++) {
            RouteTable.Entry e = common.routeTable().entries().get(i);
            Settings.Route r = common.routes().get(i);
            TrafficRecord.RouteRule rule = new TrafficRecord.RouteRule(
                    e.name(),
                    WireTerms.recorded(r.idempotency()),
                    WireTerms.recorded(r.deduplicationScope()),
                    r.deduplicationWindowTicks());
            rules.put(e.name(), rule);
            works.put(e.name(), work.time(e.name(), null, "1 ms", "1 min"));
            routes.add(new LoadGenerator.Route(
                    e.name(), e.method(), e.prefix(), rule, r.timeoutTicks(), share.number(e.name(), "1", 0, 1e6)));
        }
        Map<String, Double> customers = new LinkedHashMap<>();
        IniSection asks = ini.section("asks", true);
        for (String c : ini.each("customer").keySet()) {
            customers.put(c, asks.number(c, "1", 0, 1e6));
        }
        IniSection load = ini.section("load", true);
        LoadGenerator.Rule clients = new LoadGenerator.Rule(
                routes,
                customers,
                load.number("rate", "200", 0.1, 100_000),
                load.small("keys", "1000", 1, 10_000_000),
                load.number("popular", "0.8", 0, 5),
                load.number("keyless", "0.1", 0, 1),
                load.small("retries", "2", 0, 100),
                load.number("leave-early", "0", 0, 1),
                load.number("complain", "0.3", 0, 1));
        Map<Integer, BuildProfile> builds = new HashMap<>();
        ini.each("build").forEach((n, s) -> {
            Map<String, Double> failing = new HashMap<>();
            for (String route : works.keySet()) {
                failing.put(route, s.number("failing-" + route, s.has("failing") ? s.text("failing", "0") : "0", 0, 1));
            }
            if (!n.matches("\\d{1,5}")) {
                s.fault("work", "is of build '" + n + "'; a build is a whole number");
            } else {
                builds.put(
                        Integer.parseInt(n),
                        new BuildProfile(
                                Integer.parseInt(n),
                                s.number("work", "1", 0.01, 1000),
                                failing,
                                s.number("failing-busy", "0", 0, 1),
                                s.number("wrong", "0", 0, 1),
                                s.number("work-busy", "1", 0.01, 1000),
                                s.time("fails-after", "0 ms", "0 ms", "24 h"),
                                s.small("together-with", "0", 0, 65_535),
                                s.number("harms-all", "1", 1, 1000)));
            }
        });
        List<ScenarioFault> troubles = new ArrayList<>();
        ini.each("event").forEach((n, s) -> {
            ScenarioFault t = ScenarioFault.read(n, s, fronts);
            if (t.what() == ScenarioFault.What.OFFER && !builds.containsKey(t.build())) {
                s.fault(
                        "build",
                        "is " + t.build() + ", of which nothing is said; add a section [build " + t.build() + "]");
            }
            troubles.add(t);
        });
        troubles.sort(Comparator.comparingLong(ScenarioFault::at));
        Scenario plan = new Scenario(
                name,
                day.time("length", "60 s", "1 s", "24 h"),
                fronts,
                day.small("machines", "12", 1, 5000),
                zones,
                day.whole("seed", "1", 0, Long.MAX_VALUE),
                common,
                ini.copy(Common.SECTIONS),
                asked,
                list.time("lag", "300 ms", "0 ms", "1 h"),
                list.small("calls-per-second", "50", 1, 1_000_000),
                shape(ini.section("fleet", true), common.limits(), works, rules),
                clients,
                line(ini, common.rollout()),
                builds,
                troubles);
        ini.done();
        return plan;
    }

    private static ServerProfile shape(
            IniSection s, Settings.Limits l, Map<String, Long> works, Map<String, TrafficRecord.RouteRule> rules) {
        return new ServerProfile(
                s.small("cores", "2", 1, 1024),
                s.small("room", "40", 0, 1_000_000),
                s.small("connections", "400", 1, 1_000_000),
                works,
                rules,
                l.warmUpInitialShare(),
                l.warmUpTicks(),
                l.overloadMultiple(),
                l.overloadWindowTicks(),
                s.number("warm-keys", "0.2", 0, 0.99),
                s.time("key-memory", "5 s", "0 ms", "1 h"),
                s.time("load-every", "200 ms", "0 ms", "1 min"),
                (int) s.bytes("answer", "200 B", "0 B", "1 MiB"));
    }

    private static RolloutService.Control control(Settings.PromotionPolicy policy) {
        return switch (policy) {
            case FIRST_VOTE -> RolloutService.Control.ANY;
            case VOTE_COUNT -> RolloutService.Control.COUNT;
            case AUTOMATIC -> RolloutService.Control.CLOCK;
        };
    }

    private static RolloutService.Rule line(IniFile ini, Settings.Rollout r) {
        IniSection s = ini.section("line", true);
        List<Double> shares = s.numbers("shares", "0.1, 0.4, 1", 0.001, 1);
        if (shares.size() != r.stageExposureCaps().size()) {
            s.fault(
                    "shares",
                    "has " + shares.size() + " stages and stage-caps of [rollout] has "
                            + r.stageExposureCaps().size() + "; give both as many");
        }
        return new RolloutService.Rule(
                shares,
                r.stageExposureCaps(),
                control(r.promotionPolicy()),
                s.choice("style", "replace", RolloutService.Style.class),
                r.promoteVotes(),
                r.rollBackVotes(),
                r.holdVotes(),
                r.minStageTicks(),
                r.voteLifetimeTicks(),
                r.votesPerSecond(),
                s.time("news-lag", "300 ms", "0 ms", "1 h"),
                s.time("news-every", "3 s", "100 ms", "1 h"),
                s.time("start-time", "1 s", "0 ms", "1 h"),
                s.time("drain-most", "4 s", "0 ms", "1 h"),
                s.small("together", "1", 1, 3));
    }

    /** The figures that the audit needs. */
    public TrafficRecord.Rules rules() {
        Settings.Rollout r = common.rollout();
        return new TrafficRecord.Rules(
                0,
                load.routes().stream().map(LoadGenerator.Route::rule).toList(),
                common.limits().drainGraceTicks(),
                r.exposureWindowTicks(),
                r.exposureAllowance(),
                r.exposurePerRoute(),
                r.guardedStages(),
                r.stickyKeys(),
                r.stageExposureCaps());
    }
}
