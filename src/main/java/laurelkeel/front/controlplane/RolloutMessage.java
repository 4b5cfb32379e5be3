package laurelkeel.front.controlplane;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * One line of the release line's watch, or its answer to a vote.
 *
 * @param kind news, counts, beat or vote
 * @param answer to a vote: ok, moot, over-limit or error
 * @param phase trial, going-back, released or withdrawn
 * @param ageMs how long ago the state began, or the counted period ended, when the line was written
 * @param meanMs counts: the mean time of tries that did not fail
 * @param standing all builds that are not withdrawn; null from a line that knows one release only
 * @param blame none, open, cleared, guilty or set-aside; null for none
 */
@JsonIgnoreProperties(ignoreUnknown = true)
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RolloutMessage(
        String kind,
        String answer,
        int build,
        int stage,
        double cap,
        String phase,
        double ageMs,
        int route,
        long tries,
        long errors,
        double meanMs,
        List<Integer> standing,
        String blame) {

    private static final List<String> PHASES = List.of("trial", "going-back", "released", "withdrawn");

    /** Why it cannot be followed; null where it can. */
    public String fault() {
        boolean counts = "counts".equals(kind);
        return counts
                ? null
                : phase == null || !PHASES.contains(phase)
                        ? "its phase is '" + phase + "'"
                        : stage < 0 || !(cap >= 0 && cap <= 1)
                                ? "its stage is " + stage + ", its cap " + cap
                                : standing != null && standing.contains(null) ? "a standing build is none" : null;
    }

    public static RolloutMessage news(int build, int stage, double cap, String phase, double ageMs) {
        return new RolloutMessage("news", null, build, stage, cap, phase, ageMs, 0, 0, 0, 0, null, null);
    }

    public static RolloutMessage vote(String answer, RolloutMessage now) {
        return new RolloutMessage(
                "vote",
                answer,
                now.build,
                now.stage,
                now.cap,
                now.phase,
                now.ageMs,
                0,
                0,
                0,
                0,
                now.standing,
                now.blame);
    }

    public static RolloutMessage counts(int build, int route, long tries, long errors, double meanMs, double ageMs) {
        return new RolloutMessage("counts", null, build, 0, 0, null, ageMs, route, tries, errors, meanMs, null, null);
    }

    public static RolloutMessage beat() {
        return new RolloutMessage("beat", null, 0, 0, 0, null, 0, 0, 0, 0, 0, null, null);
    }

    /** A vote as it is sent. */
    public record Ballot(int front, int build, int stage, String verdict) {}
}
