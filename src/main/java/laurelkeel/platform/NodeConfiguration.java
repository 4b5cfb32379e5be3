package laurelkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import laurelkeel.api.Settings;
import laurelkeel.options.SocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * The configuration of a front node, which the platform provides at its start and again with each SIGHUP.
 *
 * @param name the node's name, which stays the same after a restart
 * @param listen address on which the node accepts clients
 * @param seed seed for random numbers; new at each start
 * @param maxSockets number of file descriptors that the process may have open
 * @param rolloutState rollout state of the newest build; null if it is not known
 * @param cachedEndpoints the endpoint list that this node last knew; null if there is none
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
     * @param environment environment variables, which provide fields that the file lacks
     * @throws InvalidConfigurationException if the file cannot be read or is invalid
     */
    public static NodeConfiguration read(Path file, Map<String, String> environment)
            throws InvalidConfigurationException {
        return new NodeConfigurationParser(environment).read(file);
    }

    /**
     * Parses a configuration that has been read as JSON.
     *
     * @param environment environment variables, which provide fields that the configuration lacks
     * @throws InvalidConfigurationException if the configuration is invalid
     */
    public static NodeConfiguration of(@Nullable JsonNode root, Map<String, String> environment)
            throws InvalidConfigurationException {
        return new NodeConfigurationParser(environment).parse(root);
    }
}
