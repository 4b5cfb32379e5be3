package laurelkeel.front;

import java.util.List;
import laurelkeel.api.Settings;
import laurelkeel.config.IniFile;
import laurelkeel.front.ingress.RouteTable;

/**
 * The settings that all front nodes of a fleet share.
 *
 * @param routes by route index
 * @param routeTable maps methods and paths to route indices, and names of tenants to tenant indices
 * @param tenants by tenant index
 */
public record FleetSettings(
        List<Settings.Route> routes,
        RouteTable routeTable,
        List<Settings.Tenant> tenants,
        Settings.Limits limits,
        Settings.Capabilities capabilities,
        Settings.Costs costs,
        Settings.Rollout rollout) {

    /** The kinds of sections that contain these settings, for files that are generated from another one. */
    public static final List<String> SECTIONS =
            List.of("route", "customer", "limits", "allowed", "prices", "rollout", "clients", "machines");

    /**
     * Reads the shared settings. Also checks the sections for client and endpoint connections, which are the
     * same for all nodes. Errors are added to the file.
     *
     * @param endpointPolling whether the endpoint list is polled rather than pushed
     */
    public static FleetSettings read(IniFile file, boolean endpointPolling) {
        return FleetSettingsReader.read(file, endpointPolling);
    }
}
