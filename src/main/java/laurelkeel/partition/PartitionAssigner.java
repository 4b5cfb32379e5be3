package laurelkeel.partition;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import org.jspecify.annotations.Nullable;

/**
 * Divides requests evenly among partitions: by a hash of the partition key, at random where a request has none.
 *
 * <p>The hash depends on neither the build nor the node, so that all nodes divide the keys alike, and is independent of
 * the one that chooses a canary's keys within a partition. Not thread-safe.
 */
final class PartitionAssigner {
    /** Both prefixes are part of the hash's input; another text would divide the keys in another way. */
    private static final byte[] KEY_PREFIX = "lane of ".getBytes(StandardCharsets.US_ASCII);

    private static final String SALT_PREFIX = "lanes/";

    private final byte[] salt;
    private long drawCount;

    /** @param seed of the random draws for requests without a key */
    PartitionAssigner(long seed) {
        salt = (SALT_PREFIX + seed).getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * The partition for a request.
     *
     * @param partitionCount how many partitions there are, at least 1
     * @return from 0 to {@code partitionCount - 1}
     */
    int assign(@Nullable String key, int partitionCount) {
        double position = key == null ? randomPosition() : keyPosition(key);
        return Math.min(partitionCount - 1, (int) (partitionCount * position));
    }

    private static double keyPosition(String key) {
        CRC32 crc = new CRC32();
        crc.update(KEY_PREFIX);
        crc.update(key.getBytes(StandardCharsets.UTF_8));
        return toUnitInterval(crc.getValue());
    }

    private double randomPosition() {
        CRC32 crc = new CRC32();
        crc.update(salt);
        crc.update(Long.toString(drawCount).getBytes(StandardCharsets.US_ASCII));
        drawCount++;
        return toUnitInterval(crc.getValue());
    }

    /**
     * Mixes a checksum into a position from 0 to below 1. CRC-32 is linear: unmixed, the partitions would divide every
     * canary's keys in the same way.
     */
    private static double toUnitInterval(long crc) {
        long mixed = (crc + 0x632BE59BD9B4E019L) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return ((mixed ^ (mixed >>> 29)) >>> 11) * 0x1.0p-53;
    }
}
