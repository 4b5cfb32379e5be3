package laurelkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import laurelkeel.api.Settings;
import laurelkeel.options.SocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * The configuration that the platform gives a front node at its start, and again with each SIGHUP.
 *
 * @param name the node's name, the same after a restart
 * @param listen where clients connect
 * @param seed for random numbers; new with each start
 * @param maxSockets descriptors that the process may hold
 * @param rolloutState where the newest build stands; null where that is not known
 * @param cachedEndpoints the endpoint list as this node last had it; null where there is none
 */
public record NodeConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress controlService,
        long seed,
        int maxSockets,
        @Nullable ReportedRollout rolloutState,
        @Nullable DiscoveredEndpointList cachedEndpoints,
        Settings settings,
        SocketOptions socketOptions) {

    /**
     * Reads a configuration file.
     *
     * @param environment stands for fields that the file lacks
     * @throws InvalidConfigurationException where it cannot be read or followed
     */
    public static NodeConfiguration read(Path file, Map<String, String> environment)
            throws InvalidConfigurationException {
        return new NodeConfigurationParser(environment).read(file);
    }

    /**
     * Parses a configuration that has been read as JSON.
     *
     * @param environment stands for fields that the configuration lacks
     * @throws InvalidConfigurationException where it cannot be followed
     */
    public static NodeConfiguration of(@Nullable JsonNode root, Map<String, String> environment)
            throws InvalidConfigurationException {
        return new NodeConfigurationParser(environment).parse(root);
    }
}
