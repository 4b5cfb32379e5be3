package laurelkeel.testbed;

import java.util.List;
import laurelkeel.eventloop.EventLoop;
import org.jspecify.annotations.Nullable;

/** Starts and drains servers as rollouts proceed or are rolled back. Used on the service's loop. */
final class FleetReplacer {
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final EventLoop loop;
    private final SimulatedFleet fleet;
    private final RolloutPolicy policy;
    private final RolloutRegistry rollouts;
    private final int serverCount;

    FleetReplacer(SimulatedFleet fleet, RolloutPolicy policy, RolloutRegistry rollouts, int serverCount) {
        this.loop = fleet.loop;
        this.fleet = fleet;
        this.policy = policy;
        this.rollouts = rollouts;
        this.serverCount = serverCount;
    }

    /** Starts the initial servers, warm. */
    void startInitial(BuildProfile build) {
        for (int slot = 0; slot < serverCount; slot++) {
            fleet.startServer(null, build, slot, false);
        }
    }

    /** Starts the servers that a rollout's stage still needs, each after its own random delay. */
    void startStageServers(Rollout rollout) {
        double share = policy.stageServerShares().get(rollout.stage());
        int targetCount = (int) Math.ceil(share * (serverCount - otherCanaryServerCount(rollout)) - ROUNDING_TOLERANCE);
        int currentCount = serverCountOf(rollout);
        rollout.serversReadyTicks = loop.nowTicks();
        for (int i = currentCount; i < targetCount; i++) {
            rollout.startingServers++;
            int slot = i;
            long startTicks = nextStartTicks();
            rollout.serversReadyTicks = Math.max(rollout.serversReadyTicks, startTicks);
            loop.schedule(startTicks, () -> startServer(rollout, slot));
        }
    }

    private long nextStartTicks() {
        long startTicks = policy.serverStartTicks();
        return loop.nowTicks() + startTicks / 2 + (long) (fleet.nextRandom() * startTicks / 2);
    }

    private int serverCountOf(Rollout rollout) {
        return fleet.activeServers(rollout.build.number()).size() + rollout.startingServers;
    }

    private int otherCanaryServerCount(Rollout rollout) {
        return rollouts.canaries().stream()
                .filter(other -> other != rollout)
                .mapToInt(this::serverCountOf)
                .sum();
    }

    private void startServer(Rollout rollout, int slot) {
        rollout.startingServers--;
        if (!rollout.isCanary() && !rollout.isReleased()) {
            return;
        }
        SimulatedServer replaced = serverToReplace(rollout);
        fleet.startServer(null, rollout.build, slot, true);
        if (policy.replacement() == ReplacementStyle.REPLACE && replaced != null) {
            fleet.drain(replaced, policy.maxDrainTicks());
        }
    }

    /**
     * Returns a server of an earlier build that a new server replaces; null for none. Servers of a canary are replaced
     * only if no other servers are left and at most one rollout is unfinished.
     */
    private @Nullable SimulatedServer serverToReplace(Rollout rollout) {
        List<SimulatedServer> earlier = serversBefore(rollout.build.number());
        for (SimulatedServer server : earlier) {
            Rollout other = rollouts.get(server.build.number());
            if (other == null || !other.isCanary()) {
                return server;
            }
        }
        return earlier.isEmpty() || rollouts.unfinishedCount() > 1 ? null : earlier.get(0);
    }

    private List<SimulatedServer> serversBefore(int build) {
        return fleet.activeServers().stream()
                .filter(server -> server.build.number() < build)
                .toList();
    }

    /** Drains the remaining servers of earlier builds. */
    void drainServersBefore(int build) {
        serversBefore(build).forEach(server -> fleet.drain(server, policy.maxDrainTicks()));
    }

    /** Drains a build's servers and starts servers of the released build to restore the server count. */
    void rollBack(Rollout rollout, BuildProfile released) {
        int build = rollout.build.number();
        long others = fleet.activeServers().stream()
                .filter(server -> server.build.number() != build)
                .count();
        for (int i = 0; i < serverCount - others; i++) {
            int slot = i;
            loop.schedule(nextStartTicks(), () -> fleet.startServer(null, released, slot, true));
        }
        fleet.activeServers(build).forEach(server -> fleet.drain(server, policy.maxDrainTicks()));
    }
}
