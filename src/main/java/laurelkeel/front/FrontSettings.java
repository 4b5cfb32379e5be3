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
 * @param decisionSettings the settings of the decider
 * @param seed seed of the node's random numbers
 * @param zones names of the zones; their order gives their indices
 * @param routes maps methods and paths to routes
 * @param ingress limits and address of the client side
 * @param upstream limits of the endpoint side
 * @param adminAddress the address that serves health and metrics; null to serve none
 * @param endpointListAddress the address of the service of the endpoint list; null for none
 * @param rolloutServiceAddress the address of the control service; null for none
 * @param gossipAddress the address that receives the gossip of other nodes; null for no gossip
 * @param gossipPeers the gossip addresses of all nodes by node index
 * @param stateDirectory the directory that stores the last endpoint list over a restart
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
     * @throws InvalidSettingsException if the file is invalid; it lists all errors
     */
    public static FrontSettings read(Path file) throws InvalidSettingsException {
        return FrontSettingsReader.read(file);
    }
}
