package laurelkeel.soak;

import java.util.Locale;

/** The traffic of a node and the usual number of endpoints behind it. */
public enum ScaleProfile {
    /** One of a hundred nodes in front of a large fleet. */
    THIN(20, 200),
    /** One of three nodes in front of a small fleet. */
    SMALL(90, 20),
    /** One with much traffic and few endpoints. */
    BUSY(240, 12);

    private final int requestsPerSecond;
    private final int usualEndpoints;

    ScaleProfile(int requestsPerSecond, int usualEndpoints) {
        this.requestsPerSecond = requestsPerSecond;
        this.usualEndpoints = usualEndpoints;
    }

    int requestsPerSecond() {
        return requestsPerSecond;
    }

    /** The endpoints at a scale, as a multiple of the usual number. */
    int endpoints(int scale) {
        return usualEndpoints * scale;
    }

    /** The name in tables and folders. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
