package laurelkeel.front;

import static laurelkeel.config.IniSection.REQUIRED;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Settings;
import laurelkeel.config.IniFile;
import laurelkeel.config.IniSection;
import laurelkeel.config.InvalidSettingsException;
import laurelkeel.text.DecimalNumbers;
import org.jspecify.annotations.Nullable;

/** Reads the INI file of one standalone front node. Keys, defaults and bounds: docs/front.md. */
final class FrontSettingsReader {
    /** The zone of a node whose settings name none. */
    private static final String DEFAULT_ZONE = "here";

    private static final String DEFAULT_STATE_DIRECTORY = "state";

    /** The keys of the section of gossip peers: node indices of up to five digits. */
    private static final String NODE_INDEX_PATTERN = "\\d{1,5}";

    /** How the node gets the endpoint list. */
    enum EndpointListMode {
        /** The node keeps a watch open, over which changes are pushed. */
        PUSH,
        /** The decider requests each fetch of the list and the watch. */
        POLL
    }

    /** What the value of an answer is proportional to. */
    enum ValueBasis {
        /** All requests have the same weight. */
        REQUEST,
        /** A request is weighted by the work it needs. */
        WORK
    }

    private final IniFile file;
    private final IniSection front;
    private final Path baseDirectory;

    private FrontSettingsReader(IniFile file, Path baseDirectory) {
        this.file = file;
        this.baseDirectory = baseDirectory;
        front = file.section("front", false);
    }

    static FrontSettings read(Path path) throws InvalidSettingsException {
        IniFile file = IniFile.read(path);
        Path directory = path.toAbsolutePath().getParent();
        FrontSettings settings = new FrontSettingsReader(file, directory == null ? path : directory).read();
        file.throwIfInvalid();
        return settings;
    }

    private FrontSettings read() {
        int nodeCount = front.intValue("fronts", REQUIRED, 1, 100_000);
        int nodeIndex = readNodeIndex(nodeCount);
        List<String> zones = front.stringList("zones", DEFAULT_ZONE);
        int zone = readZone(zones);
        IniSection list = file.section("list", true);
        boolean endpointPolling = list.choice("mode", "push", WireTerms.ENDPOINT_LIST_MODE) == EndpointListMode.POLL;
        FleetSettings fleet = FleetSettings.read(file, endpointPolling);
        Settings decisionSettings = new Settings(
                nodeIndex,
                nodeCount,
                zone,
                fleet.routes(),
                fleet.tenants(),
                fleet.limits(),
                fleet.capabilities(),
                fleet.costs(),
                fleet.rollout(),
                front.choice("earnings-by", "req", WireTerms.VALUE_BASIS) == ValueBasis.WORK);
        Map<Integer, InetSocketAddress> gossipPeers = readGossipPeers(file.section("peers", true));
        return new FrontSettings(
                decisionSettings,
                front.longValue("seed", Integer.toString(nodeIndex + 1), 0, Long.MAX_VALUE),
                zones,
                fleet.routeTable(),
                ConnectionSettingsReader.readIngress(front.address("listen", REQUIRED), file.section("clients", true)),
                ConnectionSettingsReader.readUpstream(file.section("machines", true)),
                optionalAddress(front, "admin"),
                optionalAddress(list, "address"),
                optionalAddress(file.section("release", true), "address"),
                optionalAddress(front, "notes"),
                gossipPeers,
                baseDirectory.resolve(front.stringValue("state", DEFAULT_STATE_DIRECTORY)),
                front.has("records") ? baseDirectory.resolve(front.stringValue("records", REQUIRED)) : null);
    }

    private int readNodeIndex(int nodeCount) {
        int nodeIndex = front.intValue("number", REQUIRED, 0, 99_999);
        if (nodeIndex >= nodeCount) {
            front.addError("number", "is " + nodeIndex + ", but fronts is " + nodeCount + "; numbers begin at 0");
        }
        return nodeIndex;
    }

    private int readZone(List<String> zones) {
        String zone = front.stringValue("zone", zones.isEmpty() ? DEFAULT_ZONE : zones.get(0));
        if (!zones.contains(zone)) {
            front.addError("zone", "is '" + zone + "'; zones lists " + String.join(", ", zones));
        }
        return Math.max(0, zones.indexOf(zone));
    }

    private static Map<Integer, InetSocketAddress> readGossipPeers(IniSection section) {
        Map<Integer, InetSocketAddress> peers = new LinkedHashMap<>();
        for (String key : section.keys()) {
            if (key.matches(NODE_INDEX_PATTERN)) {
                peers.put(DecimalNumbers.parseInt(key), section.address(key, REQUIRED));
            } else {
                section.addError(key, "is not the number of a front node; write the entry as '1 = 127.0.0.1:9101'");
            }
        }
        return peers;
    }

    private static @Nullable InetSocketAddress optionalAddress(IniSection section, String key) {
        return section.has(key) ? section.address(key, REQUIRED) : null;
    }
}
