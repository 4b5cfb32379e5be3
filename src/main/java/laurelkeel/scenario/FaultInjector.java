package laurelkeel.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.testbed.BuildProfile;
import laurelkeel.testbed.EndpointListService;
import laurelkeel.testbed.LoadGenerator;
import laurelkeel.testbed.RolloutService;
import laurelkeel.testbed.ServerFault;
import laurelkeel.testbed.SimulatedFleet;
import laurelkeel.testbed.SimulatedServer;

/** Applies a scenario's faults to the test bed. Not thread-safe; used on the test bed's loop. */
final class FaultInjector {
    private final Scenario scenario;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final SimulatedFleet fleet;
    private final EndpointListService endpointList;
    private final RolloutService rolloutService;

    FaultInjector(
            Scenario scenario,
            EventLoop loop,
            long seed,
            SimulatedFleet fleet,
            EndpointListService endpointList,
            RolloutService rolloutService) {
        this.scenario = scenario;
        this.loop = loop;
        this.random = new SplittableRandom(seed);
        this.fleet = fleet;
        this.endpointList = endpointList;
        this.rolloutService = rolloutService;
    }

    /** Applies a fault of servers or services; other kinds have no effect. */
    void applyToServers(ScenarioFault fault) {
        long untilTicks = loop.nowTicks() + fault.durationTicks();
        switch (fault.kind()) {
            case OFFER_BUILD -> rolloutService.offer(build(fault.build()));
            case CRASH_SERVERS -> chooseServers(fault).forEach(server -> crash(server, fault));
            case HANG_SERVERS -> startFault(ServerFault.HANG, fault, untilTicks);
            case SLOW_SERVERS -> startFault(ServerFault.SLOW, fault, untilTicks);
            case LOSE_RESPONSES -> startFault(ServerFault.LOSE_RESPONSES, fault, untilTicks);
            case RESET_CONNECTIONS -> startFault(ServerFault.RESET_CONNECTIONS, fault, untilTicks);
            case TRUNCATE_RESPONSES -> startFault(ServerFault.TRUNCATE_RESPONSES, fault, untilTicks);
            case REFUSE_CONNECTIONS -> startFault(ServerFault.REFUSE_CONNECTIONS, fault, untilTicks);
            case DRAIN_SERVERS ->
                chooseServers(fault)
                        .forEach(server ->
                                fleet.drain(server, scenario.rolloutPolicy().maxDrainTicks()));
            case SLOW_FLEET -> fleet.slowDown(fault.magnitude(), untilTicks);
            case STALE_ENDPOINT_LIST -> endpointList.setStaleUntil(untilTicks);
            case ENDPOINT_LIST_DOWN -> endpointList.setDownUntil(untilTicks);
            case ROLLOUT_SERVICE_STALLED -> rolloutService.stallUntil(untilTicks);
            case ROLLOUT_UPDATES_DELAYED -> rolloutService.delayUntil(untilTicks, (long) fault.magnitude());
            case KILL_NODE, STOP_NODE, LOAD_BURST, LOAD_SHIFT, HOT_KEY -> {}
        }
    }

    /** Applies a fault of the load; other kinds have no effect. */
    void applyToLoad(ScenarioFault fault, LoadGenerator loadGenerator) {
        long untilTicks = loop.nowTicks() + fault.durationTicks();
        switch (fault.kind()) {
            case LOAD_BURST -> {
                loadGenerator.setRateFactor(fault.magnitude());
                loop.schedule(untilTicks, () -> loadGenerator.setRateFactor(1));
            }
            case LOAD_SHIFT -> {
                loadGenerator.setNodeShare(fault.nodeIndex(), fault.magnitude());
                loop.schedule(untilTicks, () -> loadGenerator.setNodeShare(fault.nodeIndex(), 0));
            }
            case HOT_KEY -> {
                loadGenerator.setHotKeyShare(fault.magnitude());
                loop.schedule(untilTicks, () -> loadGenerator.setHotKeyShare(0));
            }
            default -> {}
        }
    }

    private BuildProfile build(int number) {
        return scenario.builds().getOrDefault(number, BuildProfile.healthy(number));
    }

    private List<SimulatedServer> chooseServers(ScenarioFault fault) {
        List<SimulatedServer> candidates = new ArrayList<>(fleet.activeServers());
        List<SimulatedServer> chosen = new ArrayList<>();
        while (chosen.size() < fault.serverCount() && !candidates.isEmpty()) {
            chosen.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return chosen;
    }

    private void startFault(ServerFault serverFault, ScenarioFault fault, long untilTicks) {
        chooseServers(fault).forEach(server -> server.startFault(serverFault, untilTicks, fault.magnitude()));
    }

    private void crash(SimulatedServer server, ScenarioFault fault) {
        fleet.crash(server);
        if (fault.durationTicks() > 0) {
            BuildProfile restarted = fault.build() > 0 ? build(fault.build()) : server.build();
            loop.schedule(
                    loop.nowTicks() + fault.durationTicks(),
                    () -> fleet.startServer(server.address(), restarted, server.cell(), true));
        }
    }
}
