package laurelkeel.bench;

import laurelkeel.attribution.AttributionFinding;
import laurelkeel.attribution.NodeReport;
import laurelkeel.attribution.RegressionAttributor;

/**
 * One generated release day on which the attribution promotes releases and rolls them back, and naive rules name a bad
 * release from the same traffic without acting on it. The plan of the day does not depend on their verdicts. Not
 * thread-safe.
 */
final class AttributionScenario {
    private static final int SECONDS = 150;
    private static final int MAX_REPORT_DELAY_SECONDS = 2;
    private static final int MIN_STAGE_SECONDS = 10;
    private static final double NOT_CAUGHT = -1;

    private final DayRandom random;
    private final GeneratedDay day;
    private final GeneratedTraffic traffic;
    private final RegressionAttributor attributor =
            new RegressionAttributor(GeneratedTraffic.ROUTES, MAX_REPORT_DELAY_SECONDS);
    private double secondsToVerdict = NOT_CAUGHT;
    private boolean goodBuildBlamed;
    private int goodBuildsSetAside;
    private int worstRateBuild = NaiveRules.NO_BUILD;
    private int newestBuild = NaiveRules.NO_BUILD;
    private int testedAloneBuild = NaiveRules.NO_BUILD;

    AttributionScenario(long seed, ReleaseFault fault) {
        random = GeneratedDay.newRandom(seed, fault);
        day = new GeneratedDay(fault, random);
        traffic = new GeneratedTraffic(day, random);
    }

    /**
     * The results of one day.
     *
     * @param caught whether the attribution found the bad release guilty
     * @param goodBuildBlamed whether the attribution found a good release guilty
     * @param secondsToVerdict seconds from the start of the bad release to the verdict; -1 if it was not found guilty
     * @param harmedRequests number of requests that the bad release harmed
     * @param worstRight whether the release with the highest share of bad outcomes was the bad one
     * @param newestRight whether the newest release was the bad one
     * @param testedAloneRight whether the first release that was significantly worse, each tested alone, was the bad
     *     one
     * @param testedAloneWrong whether that first release was a good one
     * @param goodBuildsSetAside number of good releases that were rolled back to see whether a regression ends with
     *     them
     */
    record Result(
            ReleaseFault fault,
            boolean caught,
            boolean goodBuildBlamed,
            double secondsToVerdict,
            long harmedRequests,
            boolean worstRight,
            boolean newestRight,
            boolean testedAloneRight,
            boolean testedAloneWrong,
            int goodBuildsSetAside) {}

    /** Runs the day. May be called once. */
    Result run() {
        for (long now = 0; now < SECONDS; now++) {
            startReleases(now);
            traffic.generateSecond(now);
            for (NodeReport report : traffic.arrivedReports(now)) {
                attributor.addReport(report, now);
            }
            if (testedAloneBuild == NaiveRules.NO_BUILD) {
                testedAloneBuild = NaiveRules.testedAlone(day.releases());
            }
            for (AttributionFinding finding : attributor.evaluate(now)) {
                applyFinding(finding, now);
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

    private void applyFinding(AttributionFinding finding, long now) {
        GeneratedRelease release = day.release(finding.build());
        if (finding.verdict() == AttributionFinding.Verdict.GUILTY) {
            rollBack(release, now);
        } else if (finding.setAside()) {
            release.end();
            attributor.rolloutSetAside(finding.build());
            goodBuildsSetAside += day.isBad(finding.build()) ? 0 : 1;
        } else if (!finding.hold() && release.secondsInStage(now) >= MIN_STAGE_SECONDS) {
            advance(release, finding.verdict() == AttributionFinding.Verdict.CLEARED, now);
        }
    }

    private void rollBack(GeneratedRelease release, long now) {
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
