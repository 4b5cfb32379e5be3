package laurelkeel.platform;

import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import laurelkeel.api.Decider;
import laurelkeel.front.FrontNode;
import laurelkeel.front.NodeRuntime;
import laurelkeel.front.NodeServices;

/**
 * A front node together with the platform services that it uses.
 *
 * <p>The parts are created in the order of their dependencies: runtime, services, front node. Nothing runs before
 * {@link FrontNode#start}. Thread-safe.
 */
public final class PlatformNode {
    private final PlatformServices services;
    private final FrontNode frontNode;

    private PlatformNode(PlatformServices services, FrontNode frontNode) {
        this.services = services;
        this.frontNode = frontNode;
    }

    /**
     * Creates a node.
     *
     * @param deciderFactory creates the node's decider
     */
    public static PlatformNode create(NodeConfiguration configuration, Decider.Factory deciderFactory) {
        return create(configuration, deciderFactory, NodeRuntime.monotonicClock());
    }

    /** As {@link #create}, with a monotonic clock that returns ticks. */
    static PlatformNode create(
            NodeConfiguration configuration, Decider.Factory deciderFactory, LongSupplier clockTicks) {
        return create(configuration, deciderFactory, clockTicks, UnaryOperator.identity());
    }

    /**
     * As {@link #create}, for tests.
     *
     * @param decorator wraps the services before the front node receives them
     */
    static PlatformNode create(
            NodeConfiguration configuration,
            Decider.Factory deciderFactory,
            LongSupplier clockTicks,
            UnaryOperator<NodeServices> decorator) {
        NodeRuntime runtime = NodeRuntime.forSingleCore(clockTicks);
        PlatformServices services = new PlatformServices(configuration, deciderFactory, runtime);
        FrontNode frontNode = new FrontNode(
                configuration.settings(),
                FrontNodeSettings.ingress(configuration),
                FrontNodeSettings.upstream(configuration),
                runtime,
                decorator.apply(services));
        return new PlatformNode(services, frontNode);
    }

    /** Returns the front node, which controls start and termination. */
    public FrontNode frontNode() {
        return frontNode;
    }

    /** Moves to the service addresses of a new configuration; everything else in it is ignored. */
    public void reconfigure(NodeConfiguration next) {
        services.moveTo(next);
    }

    /** Returns the version of the endpoint list; negative if none is known. */
    long endpointListVersion() {
        return services.endpointListVersion();
    }
}
