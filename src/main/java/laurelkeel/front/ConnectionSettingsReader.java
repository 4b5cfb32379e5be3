package laurelkeel.front;

import java.net.InetSocketAddress;
import laurelkeel.config.IniSection;
import laurelkeel.front.ingress.IngressSettings;
import laurelkeel.front.upstream.UpstreamSettings;
import laurelkeel.wire.HttpLimits;

/**
 * Reads the limits of a standalone front node's client and endpoint connections. Keys, defaults and bounds:
 * docs/front.md.
 */
final class ConnectionSettingsReader {
    /** Maximum length of a status or header line of an endpoint's response. */
    private static final int MAX_RESPONSE_LINE_BYTES = 8 << 10;

    /** Value of the limits that a standalone node does not have. */
    private static final int NONE = 0;

    private ConnectionSettingsReader() {}

    static IngressSettings readIngress(InetSocketAddress listenAddress, IniSection section) {
        HttpLimits limits = new HttpLimits(
                (int) section.byteSize("line", "8 KiB", "64 B", "1 MiB"),
                (int) section.byteSize("header-bytes", "32 KiB", "256 B", "4 MiB"),
                section.intValue("headers", "100", 4, 10_000),
                (int) section.byteSize("body", "1 MiB", "0 B", "256 MiB"));
        return new IngressSettings(
                listenAddress,
                limits,
                section.intValue("connections", "20000", 1, 1_000_000),
                NONE,
                section.intValue("open-reqs", "20000", 1, 1_000_000),
                section.intValue("backlog", "8192", 16, 1_000_000),
                section.intValue("pipelined", "16", 1, 10_000),
                section.durationTicks("idle-close", "60 s", "100 ms", "24 h"),
                section.durationTicks("write-timeout", "10 s", "100 ms", "1 h"),
                section.intValue("threads", "2", 1, 64),
                section.durationTicks("drain-most", "30 s", "0 ms", "24 h"),
                NONE,
                NONE,
                NONE,
                NONE,
                NONE);
    }

    static UpstreamSettings readUpstream(IniSection section) {
        HttpLimits limits = new HttpLimits(
                MAX_RESPONSE_LINE_BYTES,
                (int) section.byteSize("header-bytes", "32 KiB", "256 B", "4 MiB"),
                section.intValue("headers", "100", 4, 10_000),
                (int) section.byteSize("body", "4 MiB", "1 B", "256 MiB"));
        return new UpstreamSettings(
                limits,
                section.intValue("connections", "64", 1, 100_000),
                Integer.MAX_VALUE,
                section.intValue("waiting", "256", 0, 1_000_000),
                section.durationTicks("dial-timeout", "250 ms", "1 ms", "1 min"),
                section.durationTicks("idle-close", "15 s", "100 ms", "24 h"),
                section.intValue("threads", "2", 1, 64),
                section.stringValue("probe-path", "/health"),
                section.durationTicks("probe-timeout", "1 s", "1 ms", "1 min"),
                NONE);
    }
}
