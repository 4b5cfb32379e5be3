package laurelkeel.partition;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import org.jspecify.annotations.Nullable;

/**
 * Divides requests evenly among partitions: by a hash of the partition key, or at random if a request has none.
 *
 * <p>The hash depends neither on the build nor on the node, so that all nodes assign a key to the same partition. It is
 * independent of the hash that selects a canary's keys within a partition. Not thread-safe.
 */
final class PartitionAssigner {
    /** Both prefixes are part of the hash's input; a different text would change the assignment of keys. */
    private static final byte[] KEY_PREFIX = "lane of ".getBytes(StandardCharsets.US_ASCII);

    private static final String SALT_PREFIX = "lanes/";

    private final byte[] salt;
    private long drawCount;

    /** @param seed the seed of the random assignment of requests that have no key */
    PartitionAssigner(long seed) {
        salt = (SALT_PREFIX + seed).getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Returns the index of the partition for a request.
     *
     * @param partitionCount the number of partitions, at least 1
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
     * Mixes a checksum and scales it to a position from 0 (inclusive) to 1 (exclusive). CRC-32 is linear: without
     * mixing, the partitions would divide every canary's keys in the same way.
     */
    private static double toUnitInterval(long crc) {
        long mixed = (crc + 0x632BE59BD9B4E019L) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return ((mixed ^ (mixed >>> 29)) >>> 11) * 0x1.0p-53;
    }
}
