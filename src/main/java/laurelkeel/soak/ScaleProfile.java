package laurelkeel.soak;

import java.util.Locale;

/** The traffic of a node and the reference number of endpoints behind it (scale 1). */
public enum ScaleProfile {
    /** One of a hundred nodes in front of many endpoints. */
    THIN(20, 200),
    /** One of three nodes in front of few endpoints. */
    SMALL(90, 20),
    /** One node with much traffic and few endpoints. */
    BUSY(240, 12);

    private final int requestsPerSecond;
    private final int referenceEndpoints;

    ScaleProfile(int requestsPerSecond, int referenceEndpoints) {
        this.requestsPerSecond = requestsPerSecond;
        this.referenceEndpoints = referenceEndpoints;
    }

    int requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Returns the number of endpoints at a scale, which is a multiple of the reference number. */
    int endpoints(int scale) {
        return referenceEndpoints * scale;
    }

    /** Returns the name for tables and folders. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
