package laurelkeel.front;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Settings;
import laurelkeel.config.InvalidSettingsException;
import laurelkeel.front.ingress.IngressSettings;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.front.upstream.UpstreamSettings;
import org.jspecify.annotations.Nullable;

/**
 * All settings of one standalone front node.
 *
 * @param decisionSettings what the decider is given
 * @param seed of the node's random draws
 * @param zones names of the zones; their order gives their indices
 * @param routes maps methods and paths to routes
 * @param ingress bounds and addresses of the client side
 * @param upstream bounds of the endpoint side
 * @param adminAddress where health and metrics are served; null for nowhere
 * @param endpointListAddress where the endpoint list is served; null for none
 * @param rolloutServiceAddress where the control service answers; null for none
 * @param gossipAddress where gossip of other nodes is received; null for no gossip
 * @param gossipPeers the gossip addresses of all nodes by node index
 * @param stateDirectory the directory that keeps the last endpoint list over a restart
 * @param recordFile the file for records of control-plane updates; null for none
 */
public record FrontSettings(
        Settings decisionSettings,
        long seed,
        List<String> zones,
        RouteTable routes,
        IngressSettings ingress,
        UpstreamSettings upstream,
        @Nullable InetSocketAddress adminAddress,
        @Nullable InetSocketAddress endpointListAddress,
        @Nullable InetSocketAddress rolloutServiceAddress,
        @Nullable InetSocketAddress gossipAddress,
        Map<Integer, InetSocketAddress> gossipPeers,
        Path stateDirectory,
        @Nullable Path recordFile) {

    /**
     * Reads and checks the settings file of a front node.
     *
     * @throws InvalidSettingsException where the file cannot be used; it lists all errors at once
     */
    public static FrontSettings read(Path file) throws InvalidSettingsException {
        return FrontSettingsReader.read(file);
    }
}
