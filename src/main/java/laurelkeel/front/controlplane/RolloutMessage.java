package laurelkeel.front.controlplane;

import java.util.List;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.jspecify.annotations.Nullable;

/** What the control service says of a build. */
public sealed interface RolloutMessage {
    /** The build that the message is about. */
    int build();

    /** What a regression of the build is attributed to. */
    Attribution attribution();

    /**
     * Where the rollout of a build stands.
     *
     * @param stage from 0
     * @param exposureCap share of the requests that the build may get, from 0 to 1
     * @param ageMillis how long this had been so when the message was sent
     * @param activeBuilds all builds that are not rolled back; null where the service knows one rollout only
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

        /** The status of a build of which the service no longer speaks: it has been rolled back. */
        public Status rolledBack() {
            return new Status(build, stage, 0, RolloutPhase.ROLLED_BACK, 0, null, Attribution.NONE);
        }
    }

    /**
     * What the platform counted of all nodes' attempts at a build over its last period.
     *
     * @param meanMillis the mean duration of attempts that did not fail
     * @param ageMillis how long ago the period had ended when the message was sent
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
