package laurelkeel.day;

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
import laurelkeel.config.BadSettings;
import laurelkeel.config.Ini;
import laurelkeel.config.Section;
import laurelkeel.front.FrontSettings.Common;
import laurelkeel.front.WireTerms;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.records.Rec;
import laurelkeel.standin.Build;
import laurelkeel.standin.Clients;
import laurelkeel.standin.ReleaseLine;
import laurelkeel.standin.Shape;

/**
 * A day file, read and checked. docs/day.md explains each key. Times are tenths of a millisecond.
 *
 * @param frontSections what goes into each front's own file as it stands
 */
public record DayPlan(
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
        Shape shape,
        Clients.Rule load,
        ReleaseLine.Rule line,
        Map<Integer, Build> builds,
        List<Trouble> troubles) {

    private enum ListMode {
        PUSH,
        ASK
    }

    /** The days that come with the program. */
    public static final List<String> SHIPPED =
            List.of("bad-day", "lost-answers", "cold-returns", "stale-news", "two-releases", "three-releases");

    /** One of the shipped days by its name, or a file. */
    public static DayPlan find(String nameOrFile) throws BadSettings {
        if (SHIPPED.contains(nameOrFile)) {
            try (InputStream in = DayPlan.class.getResourceAsStream("/days/" + nameOrFile + ".ini")) {
                return read(
                        Ini.parse(nameOrFile + ".ini", new String(in.readAllBytes(), StandardCharsets.UTF_8)),
                        nameOrFile);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
        Path file = Path.of(nameOrFile);
        return read(Ini.read(file), String.valueOf(file.getFileName()).replaceAll("\\.ini$", ""));
    }

    public static DayPlan read(Ini ini, String name) throws BadSettings {
        Section day = ini.section("day", false);
        int fronts = day.small("fronts", "4", 1, 64);
        List<String> zones = day.words("zones", "here");
        Section list = ini.section("list", true);
        boolean asked = list.choice("mode", "push", ListMode.class) == ListMode.ASK;
        Common common = Common.read(ini, asked);
        Section work = ini.section("work", false);
        Section share = ini.section("share", true);
        Map<String, Long> works = new LinkedHashMap<>();
        Map<String, Rec.RouteRule> rules = new HashMap<>();
        List<Clients.Route> routes = new ArrayList<>();
        for (int i = 0; i < common.routes().size(); i++) {
            RouteTable.Entry e = common.table().entries().get(i);
            Settings.Route r = common.routes().get(i);
            Rec.RouteRule rule = new Rec.RouteRule(
                    e.name(),
                    WireTerms.recorded(r.idempotency()),
                    WireTerms.recorded(r.deduplicationScope()),
                    r.deduplicationWindowTicks());
            rules.put(e.name(), rule);
            works.put(e.name(), work.time(e.name(), null, "1 ms", "1 min"));
            routes.add(new Clients.Route(
                    e.name(), e.method(), e.prefix(), rule, r.timeoutTicks(), share.number(e.name(), "1", 0, 1e6)));
        }
        Map<String, Double> customers = new LinkedHashMap<>();
        Section asks = ini.section("asks", true);
        for (String c : ini.each("customer").keySet()) {
            customers.put(c, asks.number(c, "1", 0, 1e6));
        }
        Section load = ini.section("load", true);
        Clients.Rule clients = new Clients.Rule(
                routes,
                customers,
                load.number("rate", "200", 0.1, 100_000),
                load.small("keys", "1000", 1, 10_000_000),
                load.number("popular", "0.8", 0, 5),
                load.number("keyless", "0.1", 0, 1),
                load.small("retries", "2", 0, 100),
                load.number("leave-early", "0", 0, 1),
                load.number("complain", "0.3", 0, 1));
        Map<Integer, Build> builds = new HashMap<>();
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
                        new Build(
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
        List<Trouble> troubles = new ArrayList<>();
        ini.each("event").forEach((n, s) -> {
            Trouble t = Trouble.read(n, s, fronts);
            if (t.what() == Trouble.What.OFFER && !builds.containsKey(t.build())) {
                s.fault(
                        "build",
                        "is " + t.build() + ", of which nothing is said; add a section [build " + t.build() + "]");
            }
            troubles.add(t);
        });
        troubles.sort(Comparator.comparingLong(Trouble::at));
        DayPlan plan = new DayPlan(
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

    private static Shape shape(
            Section s, Settings.Limits l, Map<String, Long> works, Map<String, Rec.RouteRule> rules) {
        return new Shape(
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

    private static ReleaseLine.Control control(Settings.PromotionPolicy policy) {
        return switch (policy) {
            case FIRST_VOTE -> ReleaseLine.Control.ANY;
            case VOTE_COUNT -> ReleaseLine.Control.COUNT;
            case AUTOMATIC -> ReleaseLine.Control.CLOCK;
        };
    }

    private static ReleaseLine.Rule line(Ini ini, Settings.Rollout r) {
        Section s = ini.section("line", true);
        List<Double> shares = s.numbers("shares", "0.1, 0.4, 1", 0.001, 1);
        if (shares.size() != r.stageExposureCaps().size()) {
            s.fault(
                    "shares",
                    "has " + shares.size() + " stages and stage-caps of [rollout] has "
                            + r.stageExposureCaps().size() + "; give both as many");
        }
        return new ReleaseLine.Rule(
                shares,
                r.stageExposureCaps(),
                control(r.promotionPolicy()),
                s.choice("style", "replace", ReleaseLine.Style.class),
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
    public Rec.Rules rules() {
        Settings.Rollout r = common.rollout();
        return new Rec.Rules(
                0,
                load.routes().stream().map(Clients.Route::rule).toList(),
                common.limits().drainGraceTicks(),
                r.exposureWindowTicks(),
                r.exposureAllowance(),
                r.exposurePerRoute(),
                r.guardedStages(),
                r.stickyKeys(),
                r.stageExposureCaps());
    }
}
