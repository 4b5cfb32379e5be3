package laurelkeel.bench;

import laurelkeel.attribution.AttributionFinding;
import laurelkeel.attribution.NodeReport;
import laurelkeel.attribution.RegressionAttributor;

/**
 * One generated release day, judged by the attribution, which promotes and rolls back, and by naive rules. The day's draws
 * do not depend on who judges. Not thread-safe.
 */
final class AttributionScenario {
    private static final int SECONDS = 150;
    private static final int MAX_ROLLOUTS = 2;
    private static final int MIN_STAGE_SECONDS = 10;
    private static final double NOT_CAUGHT = -1;

    private final DayRandom random;
    private final GeneratedDay day;
    private final GeneratedTraffic traffic;
    private final RegressionAttributor attributor = new RegressionAttributor(GeneratedTraffic.ROUTES, MAX_ROLLOUTS);
    private double secondsToVerdict = NOT_CAUGHT;
    private boolean goodBuildBlamed;
    private int goodBuildsSetAside;
    private int worstRateBuild = NaiveRules.NO_BUILD;
    private int newestBuild = NaiveRules.NO_BUILD;
    private int testedAloneBuild = NaiveRules.NO_BUILD;

    AttributionScenario(long seed, ReleaseFault fault) {
        random = GeneratedDay.random(seed, fault);
        day = new GeneratedDay(fault, random);
        traffic = new GeneratedTraffic(day, random);
    }

    /**
     * What became of one day.
     *
     * @param caught whether the attribution found the bad release guilty
     * @param honestBlamed whether it found another one guilty
     * @param seconds from the start of the bad release to the verdict; -1 where it was not caught
     * @param harm requests that the bad release harmed
     * @param worstRight whether the release with the worst rate was the bad one
     * @param newestRight whether the newest release was the bad one
     * @param aloneRight whether the bad one was the first whose rate was significantly worse, by itself
     * @param aloneWrong whether a good one was
     * @param asides good releases that were set aside to learn more
     */
    record Result(
            ReleaseFault fault,
            boolean caught,
            boolean honestBlamed,
            double seconds,
            long harm,
            boolean worstRight,
            boolean newestRight,
            boolean aloneRight,
            boolean aloneWrong,
            int asides) {}

    /** Plays the day, once. */
    Result play() {
        for (long now = 0; now < SECONDS; now++) {
            startReleases(now);
            traffic.play(now);
            for (NodeReport report : traffic.arrivedReports(now)) {
                attributor.addReport(report, now);
            }
            if (testedAloneBuild == NaiveRules.NO_BUILD) {
                testedAloneBuild = NaiveRules.testedAlone(day.releases());
            }
            for (AttributionFinding finding : attributor.evaluate(now)) {
                follow(finding, now);
            }
        }
        if (!isCaught()) {
            applyNaiveRules(SECONDS);
        }
        return new Result(
                day.fault(),
                isCaught(),
                goodBuildBlamed,
                secondsToVerdict,
                traffic.harmedRequests(),
                day.isBad(worstRateBuild),
                day.isBad(newestBuild),
                day.isBad(testedAloneBuild),
                testedAloneBuild != NaiveRules.NO_BUILD && !day.isBad(testedAloneBuild),
                goodBuildsSetAside);
    }

    private boolean isCaught() {
        return secondsToVerdict >= 0;
    }

    private void applyNaiveRules(long now) {
        worstRateBuild = NaiveRules.worstRate(day.releases());
        newestBuild = NaiveRules.newest(day.releases(), now);
    }

    private void startReleases(long now) {
        for (GeneratedRelease release : day.releases()) {
            if (now == release.startsAt()) {
                release.started(now);
                attributor.rolloutStarted(release.build(), now);
            }
        }
    }

    private void follow(AttributionFinding finding, long now) {
        GeneratedRelease release = day.release(finding.build());
        if (finding.verdict() == AttributionFinding.Verdict.GUILTY) {
            blame(release, now);
        } else if (finding.setAside()) {
            release.end();
            attributor.rolloutSetAside(finding.build());
            goodBuildsSetAside += day.isBad(finding.build()) ? 0 : 1;
        } else if (!finding.hold() && release.secondsInStage(now) >= MIN_STAGE_SECONDS) {
            advance(release, finding.verdict() == AttributionFinding.Verdict.CLEARED, now);
        }
    }

    private void blame(GeneratedRelease release, long now) {
        boolean isBad = day.isBad(release.build());
        if (isBad && !isCaught()) {
            secondsToVerdict = now - release.startsAt();
            applyNaiveRules(now);
        }
        goodBuildBlamed |= !isBad;
        release.end();
        attributor.rolloutEnded(release.build(), false);
    }

    private void advance(GeneratedRelease release, boolean isCleared, long now) {
        if (!release.isLastStage()) {
            release.promoted(now);
            traffic.promoted(now);
        } else if (isCleared) {
            release.end();
            attributor.rolloutEnded(release.build(), true);
        }
    }
}
