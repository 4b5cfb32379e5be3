package laurelkeel.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Settings;
import laurelkeel.config.IniFile;
import laurelkeel.config.InvalidSettingsException;
import laurelkeel.front.FleetSettings;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.BuildProfile;
import laurelkeel.testbed.LoadProfile;
import laurelkeel.testbed.LoadRoute;
import laurelkeel.testbed.RolloutPolicy;
import laurelkeel.testbed.ServerProfile;

/**
 * A scenario as described by its file; docs/day.md explains each key.
 *
 * @param durationTicks how long load is offered
 * @param serverCount number of servers at the start
 * @param commonSettings the settings that all nodes share
 * @param nodeSections text that is copied unchanged into each node's settings file
 * @param endpointListPolled whether nodes poll the endpoint list instead of watching it
 * @param endpointListDelayTicks delay after which a change becomes visible in the endpoint list
 * @param endpointListCallsPerSecond rate beyond which the endpoint list service rejects calls
 * @param builds the described builds, by number
 * @param faults the events, in the order of their times
 */
public record Scenario(
        String name,
        long durationTicks,
        int nodeCount,
        int serverCount,
        List<String> zones,
        long seed,
        FleetSettings commonSettings,
        String nodeSections,
        boolean endpointListPolled,
        long endpointListDelayTicks,
        int endpointListCallsPerSecond,
        ServerProfile serverProfile,
        LoadProfile loadProfile,
        RolloutPolicy rolloutPolicy,
        Map<Integer, BuildProfile> builds,
        List<ScenarioFault> faults) {

    /** The names of the scenarios that are shipped with the program. */
    public static final List<String> SHIPPED =
            List.of("bad-day", "lost-answers", "cold-returns", "stale-news", "two-releases", "three-releases");

    private static final String FILE_SUFFIX = ".ini";

    /**
     * Reads a scenario, either a shipped one by its name or a file.
     *
     * @throws InvalidSettingsException if the file cannot be read or has errors
     */
    public static Scenario find(String nameOrFile) throws InvalidSettingsException {
        if (SHIPPED.contains(nameOrFile)) {
            String fileName = nameOrFile + FILE_SUFFIX;
            return read(IniFile.parse(fileName, resource("/days/" + fileName)), nameOrFile);
        }
        Path file = Path.of(nameOrFile);
        return read(IniFile.read(file), String.valueOf(file.getFileName()).replaceAll("\\.ini$", ""));
    }

    private static String resource(String path) {
        try (InputStream in = Scenario.class.getResourceAsStream(path)) {
            if (in == null) {
                throw new IllegalStateException("missing resource " + path);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Reads a scenario from its parsed file.
     *
     * @throws InvalidSettingsException if the file has errors; its message lists all of them
     */
    public static Scenario read(IniFile file, String name) throws InvalidSettingsException {
        return new ScenarioReader(file).read(name);
    }

    /** Returns the parameters that the audit needs, as a record. */
    public TrafficRecord.AuditParameters auditParameters(long timeTicks) {
        Settings.Rollout rollout = commonSettings.rollout();
        return new TrafficRecord.AuditParameters(
                timeTicks,
                loadProfile.routes().stream().map(LoadRoute::policy).toList(),
                commonSettings.limits().drainGraceTicks(),
                rollout.exposureWindowTicks(),
                rollout.exposureAllowance(),
                rollout.exposurePerRoute(),
                rollout.guardedStages(),
                rollout.stickyKeys(),
                rollout.stageExposureCaps());
    }
}
