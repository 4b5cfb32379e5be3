package laurelkeel.testbed;

import java.util.List;
import laurelkeel.eventloop.EventLoop;
import org.jspecify.annotations.Nullable;

/** Starts and drains servers as rollouts proceed and go back. Used on the service's loop. */
final class FleetReplacer {
    private static final double ROUNDING = 1e-9;

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

    /** Starts the fleet's first servers, warm. */
    void startInitial(BuildProfile build) {
        for (int slot = 0; slot < serverCount; slot++) {
            fleet.startServer(null, build, slot, false);
        }
    }

    /** Starts as many servers as a rollout's stage asks for, each at a moment of its own. */
    void fill(Rollout rollout) {
        double share = policy.stageServerShares().get(rollout.stage());
        int wanted = (int) Math.ceil(share * (serverCount - serversOfOtherCanaries(rollout)) - ROUNDING);
        int existing = serversOf(rollout);
        rollout.serversReadyTicks = loop.nowTicks();
        for (int i = existing; i < wanted; i++) {
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

    private int serversOf(Rollout rollout) {
        return fleet.activeServers(rollout.build.number()).size() + rollout.startingServers;
    }

    private int serversOfOtherCanaries(Rollout rollout) {
        return rollouts.canaries().stream()
                .filter(other -> other != rollout)
                .mapToInt(this::serversOf)
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

    /** A server of an earlier build; of a canary only where that is the one rollout and nothing else is left. */
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

    /** Drains what is left of earlier builds. */
    void drainServersBefore(int build) {
        serversBefore(build).forEach(server -> fleet.drain(server, policy.maxDrainTicks()));
    }

    /** Drains a build's servers and starts as many of the released build as are missing. */
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
