package laurelkeel.audit;

import java.util.List;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.ResponseReceived;

/**
 * The intervals in which requests may have been accepted by a node. The time of acceptance itself is not visible on the
 * wire: it lies between the client's sending and the first observable effect, which is the arrival of an attempt or the
 * response. Immutable.
 */
final class AcceptanceTimes {
    private final long[] sortedEarliestTicks;
    private final long[] sortedLatestTicks;

    private AcceptanceTimes(long[] sortedEarliestTicks, long[] sortedLatestTicks) {
        this.sortedEarliestTicks = sortedEarliestTicks;
        this.sortedLatestTicks = sortedLatestTicks;
    }

    static AcceptanceTimes of(List<RequestTrace> requests) {
        return new AcceptanceTimes(
                requests.stream()
                        .mapToLong(request -> request.sent.timeTicks())
                        .sorted()
                        .toArray(),
                requests.stream()
                        .mapToLong(AcceptanceTimes::latestTicks)
                        .sorted()
                        .toArray());
    }

    private static long latestTicks(RequestTrace request) {
        ResponseReceived response = request.firstResponse();
        long endTicks = response == null ? request.sent.deadlineTicks() : response.timeTicks();
        return request.attempts.stream().mapToLong(AttemptArrived::timeTicks).reduce(endTicks, Math::min);
    }

    /** Returns the number of requests that may have been accepted between two times, both included. */
    int countBetween(long fromTicks, long toTicks) {
        return countBefore(sortedEarliestTicks, toTicks + 1) - countBefore(sortedLatestTicks, fromTicks);
    }

    private static int countBefore(long[] sortedTicks, long ticks) {
        int low = 0;
        int high = sortedTicks.length;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (sortedTicks[middle] < ticks) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
