package laurelkeel.platform;

import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import laurelkeel.api.Decider;
import laurelkeel.front.FrontNode;
import laurelkeel.front.NodeRuntime;
import laurelkeel.front.NodeServices;

/**
 * A front node on the platform: the front and the services that it was given.
 *
 * <p>Complete when created, in the order in which its parts need each other: runtime, services, front. Nothing runs
 * before {@link FrontNode#start}. Thread-safe.
 */
public final class PlatformNode {
    private final PlatformServices services;
    private final FrontNode frontNode;

    private PlatformNode(PlatformServices services, FrontNode frontNode) {
        this.services = services;
        this.frontNode = frontNode;
    }

    /**
     * Creates a node with the decider that a factory makes.
     *
     * @param configuration as the platform gave it
     */
    public static PlatformNode create(NodeConfiguration configuration, Decider.Factory deciderFactory) {
        return create(configuration, deciderFactory, NodeRuntime.monotonicClock());
    }

    /** As {@link #create}, with a clock of ticks that only advances. */
    static PlatformNode create(
            NodeConfiguration configuration, Decider.Factory deciderFactory, LongSupplier clockTicks) {
        return create(configuration, deciderFactory, clockTicks, UnaryOperator.identity());
    }

    /**
     * As {@link #create}, for tests.
     *
     * @param decorator wraps the services that the front is given
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

    /** The front, which starts and ends the node. */
    public FrontNode frontNode() {
        return frontNode;
    }

    /** Follows the services to the addresses of a new configuration; all else of it is ignored. */
    public void reconfigure(NodeConfiguration next) {
        services.moveTo(next);
    }

    /** The version of the endpoint list; below 0 where none is known. */
    long endpointListVersion() {
        return services.endpointListVersion();
    }
}
