package laurelkeel.front.controlplane;

import java.util.List;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.jspecify.annotations.Nullable;

/** A message of the control service about a build. */
public sealed interface RolloutMessage {
    /** Returns the build that the message is about. */
    int build();

    /** Returns what a regression of the build is attributed to. */
    Attribution attribution();

    /**
     * The state of a build's rollout.
     *
     * @param stage the current stage, from 0
     * @param exposureCap the share of the requests that the build may get, from 0 to 1
     * @param ageMillis how long the rollout had been in this state when the message was sent
     * @param activeBuilds all builds that are not rolled back; null if the service supports only one rollout at a time
     */
    record Status(
            int build,
            int stage,
            double exposureCap,
            RolloutPhase phase,
            double ageMillis,
            @Nullable List<Integer> activeBuilds,
            Attribution attribution)
            implements RolloutMessage {

        /** Returns the status of this build once the service no longer reports it: it has been rolled back. */
        public Status rolledBack() {
            return new Status(build, stage, 0, RolloutPhase.ROLLED_BACK, 0, null, Attribution.NONE);
        }
    }

    /**
     * The platform's statistics of all nodes' attempts on a build in the last reporting period.
     *
     * @param meanMillis the mean duration of attempts that did not fail
     * @param ageMillis the time between the end of the period and the sending of the message
     */
    record Statistics(
            int build,
            int route,
            long attempts,
            long errors,
            double meanMillis,
            double ageMillis,
            Attribution attribution)
            implements RolloutMessage {}
}
