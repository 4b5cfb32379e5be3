package laurelkeel.audit;

import java.util.ArrayDeque;
import java.util.Collection;
import laurelkeel.records.RecordClock;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.EndpointListReceived;
import laurelkeel.records.TrafficRecord.ServerStarted;

/** Rule 4: a server that is warming up is not overloaded by nodes that know of its start. */
final class WarmUpRule extends RuleChecker {
    /** Number of attempts above the limit that are attributed to chance. */
    private static final int ALLOWANCE_ATTEMPTS = 5;
    /** The share of attempts, in thirds, that must come from nodes that knew of the start for a violation. */
    private static final int INFORMED_THIRDS = 2;

    WarmUpRule() {
        super(4, "cold machines not pushed over");
    }

    @Override
    void check(RecordedTraffic traffic) {
        for (ServerTrace server : traffic.servers()) {
            if (server.started.cold()) {
                checkServer(traffic, server);
            }
        }
    }

    private void checkServer(RecordedTraffic traffic, ServerTrace server) {
        ServerStarted started = server.started;
        ArrayDeque<AttemptArrived> window = new ArrayDeque<>();
        boolean isOverloaded = false;
        for (AttemptArrived attempt : server.attempts) {
            long ageTicks = attempt.timeTicks() - started.timeTicks();
            if (ageTicks > started.warmUpTicks()) {
                return;
            }
            window.addLast(attempt);
            removeBefore(window, attempt.timeTicks() - started.overloadWindowTicks());
            double limit = limit(started, ageTicks);
            String windowText = formatMillis(started.overloadWindowTicks());
            countChecked(
                    window.size() / limit,
                    window.size() + " reqs in " + windowText + " at " + started.endpointId() + ", "
                            + formatMillis(ageTicks) + " after its start, of " + Math.round(limit));
            if (window.size() > limit && !isOverloaded) {
                isOverloaded = true;
                long informed = countInformed(traffic, window, started);
                if (informed * 3 >= (long) window.size() * INFORMED_THIRDS) {
                    addViolation(
                            attempt.timeTicks(),
                            attempt.requestId(),
                            started.endpointId() + " was overloaded " + formatMillis(ageTicks) + " after its start: "
                                    + window.size() + " requests in " + windowText + " with a limit of "
                                    + Math.round(limit) + ", "
                                    + informed + " of them from fronts that knew of its start");
                }
            }
        }
    }

    private static void removeBefore(ArrayDeque<AttemptArrived> window, long fromTicks) {
        while (!window.isEmpty() && window.getFirst().timeTicks() < fromTicks) {
            window.removeFirst();
        }
    }

    /** Returns how many attempts a warming server may receive within the overload window at a given age. */
    private static double limit(ServerStarted started, long ageTicks) {
        double initialShare = started.warmUpInitialShare();
        double capacityShare =
                initialShare + (1 - initialShare) * Math.max(0, ageTicks) / (double) started.warmUpTicks();
        return started.overloadMultiple()
                        * capacityShare
                        * started.capacityPerSecond()
                        * started.overloadWindowTicks()
                        / RecordClock.TICKS_PER_SECOND
                + ALLOWANCE_ATTEMPTS;
    }

    private static long countInformed(
            RecordedTraffic traffic, Collection<AttemptArrived> attempts, ServerStarted started) {
        return attempts.stream()
                .filter(attempt -> senderKnewOfStart(traffic, attempt, started))
                .count();
    }

    private static boolean senderKnewOfStart(RecordedTraffic traffic, AttemptArrived attempt, ServerStarted started) {
        NodeTrace sender = traffic.node(attempt);
        if (sender == null) {
            return false;
        }
        return sender.endpointLists.stream()
                .filter(list -> list.timeTicks() <= attempt.timeTicks())
                .anyMatch(list -> includes(list, started));
    }

    private static boolean includes(EndpointListReceived list, ServerStarted started) {
        return list.endpoints().stream()
                .anyMatch(endpoint -> endpoint.endpointId().equals(started.endpointId())
                        && endpoint.incarnation() == started.incarnation());
    }
}
