package laurelkeel.audit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import laurelkeel.records.RecordClock;
import laurelkeel.records.TrafficRecord;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.AuditParameters;
import laurelkeel.records.TrafficRecord.NodeStopped;
import laurelkeel.records.TrafficRecord.RequestSent;
import laurelkeel.records.TrafficRecord.RoutePolicy;
import org.jspecify.annotations.Nullable;

/** Records grouped by request, node and server, for the rules. Immutable once built. */
final class RecordedTraffic {
    /** The largest difference between the times of a broken connection and of the node stop that explains it. */
    private static final long NODE_STOP_TOLERANCE_TICKS = RecordClock.TICKS_PER_SECOND;

    private record NodeKey(int nodeIndex, String incarnation) {}

    private record ServerKey(String endpointId, long incarnation) {}

    private final AuditParameters parameters;
    private final Map<String, RoutePolicy> routePolicies = new HashMap<>();
    private final Map<String, RequestTrace> requests = new LinkedHashMap<>();
    private final Map<NodeKey, NodeTrace> nodes = new LinkedHashMap<>();
    private final Map<ServerKey, ServerTrace> servers = new LinkedHashMap<>();
    private final List<NodeStopped> nodeStops = new ArrayList<>();

    /**
     * Groups records.
     *
     * @param records sorted by time
     * @throws IllegalArgumentException if the parameters of the rules, a route's policy, or the start of a node or
     *     server is missing
     */
    RecordedTraffic(List<TrafficRecord> records) {
        parameters = findParameters(records);
        for (RoutePolicy policy : parameters.routes()) {
            routePolicies.put(policy.name(), policy);
        }
        for (TrafficRecord trafficRecord : records) {
            addClientRecord(trafficRecord);
            addNodeRecord(trafficRecord);
            addServerRecord(trafficRecord);
        }
    }

    private static AuditParameters findParameters(List<TrafficRecord> records) {
        AuditParameters found = null;
        for (TrafficRecord trafficRecord : records) {
            if (trafficRecord instanceof AuditParameters parameters) {
                found = parameters;
            }
        }
        if (found == null) {
            throw new IllegalArgumentException("the records have no line of kind 'rules', which every rule needs");
        }
        return found;
    }

    private void addClientRecord(TrafficRecord trafficRecord) {
        if (trafficRecord instanceof RequestSent sent) {
            requests.put(sent.requestId(), new RequestTrace(sent, routePolicy(sent)));
        } else if (trafficRecord instanceof TrafficRecord.ResponseReceived response) {
            applyIfKnown(response.requestId(), request -> request.responses.add(response));
        } else if (trafficRecord instanceof TrafficRecord.UnexpectedBytes bytes) {
            applyIfKnown(bytes.requestId(), request -> request.unexpectedBytes.add(bytes));
        } else if (trafficRecord instanceof TrafficRecord.ConnectionBroken broken) {
            applyIfKnown(broken.requestId(), request -> request.connectionBroken = broken);
        } else if (trafficRecord instanceof TrafficRecord.ClientClosed closed) {
            applyIfKnown(closed.requestId(), request -> request.clientClosed = closed);
        }
    }

    private void addNodeRecord(TrafficRecord trafficRecord) {
        if (trafficRecord instanceof TrafficRecord.NodeStarted started) {
            nodes.put(
                    new NodeKey(started.nodeIndex(), started.nodeIncarnation()),
                    new NodeTrace(started.nodeIndex(), started.nodeIncarnation(), started.timeTicks()));
        } else if (trafficRecord instanceof NodeStopped stopped) {
            nodeStops.add(stopped);
        } else if (trafficRecord instanceof TrafficRecord.EndpointListReceived list) {
            startedNode(list.nodeIndex(), list.nodeIncarnation()).endpointLists.add(list);
        } else if (trafficRecord instanceof TrafficRecord.RolloutUpdateReceived update) {
            startedNode(update.nodeIndex(), update.nodeIncarnation())
                    .rolloutUpdates
                    .add(update);
        }
    }

    private void addServerRecord(TrafficRecord trafficRecord) {
        if (trafficRecord instanceof TrafficRecord.ServerStarted started) {
            servers.put(new ServerKey(started.endpointId(), started.incarnation()), new ServerTrace(started));
        } else if (trafficRecord instanceof AttemptArrived attempt) {
            addAttempt(attempt);
        } else if (trafficRecord instanceof TrafficRecord.AttemptRejected rejection) {
            applyIfKnown(
                    rejection.requestId(), request -> request.rejections.put(rejection.attemptNumber(), rejection));
        } else if (trafficRecord instanceof TrafficRecord.AttemptAnswered answer) {
            applyIfKnown(answer.requestId(), request -> request.answers.put(answer.attemptNumber(), answer));
        }
    }

    private void addAttempt(AttemptArrived attempt) {
        applyIfKnown(attempt.requestId(), request -> request.attempts.add(attempt));
        server(attempt).attempts.add(attempt);
        NodeTrace sender = node(attempt);
        if (sender != null) {
            sender.attempts.add(attempt);
        }
    }

    private RoutePolicy routePolicy(RequestSent sent) {
        RoutePolicy policy = routePolicies.get(sent.route());
        if (policy == null) {
            throw new IllegalArgumentException("request " + sent.requestId() + " names route '" + sent.route()
                    + "', which the line of kind 'rules' does not define");
        }
        return policy;
    }

    private void applyIfKnown(String requestId, Consumer<RequestTrace> action) {
        RequestTrace request = requests.get(requestId);
        if (request != null) {
            action.accept(request);
        }
    }

    private NodeTrace startedNode(int nodeIndex, String incarnation) {
        NodeTrace node = nodes.get(new NodeKey(nodeIndex, incarnation));
        if (node == null) {
            throw new IllegalArgumentException("the records have no start of front " + nodeIndex + "/" + incarnation);
        }
        return node;
    }

    AuditParameters parameters() {
        return parameters;
    }

    Collection<RequestTrace> requests() {
        return Collections.unmodifiableCollection(requests.values());
    }

    Collection<NodeTrace> nodes() {
        return Collections.unmodifiableCollection(nodes.values());
    }

    Collection<ServerTrace> servers() {
        return Collections.unmodifiableCollection(servers.values());
    }

    /** Returns the request of an attempt; null if no client recorded it. */
    @Nullable
    RequestTrace request(AttemptArrived attempt) {
        return requests.get(attempt.requestId());
    }

    /** Returns the node that sent an attempt; null if its start was not recorded. */
    @Nullable
    NodeTrace node(AttemptArrived attempt) {
        return nodes.get(new NodeKey(attempt.nodeIndex(), attempt.nodeIncarnation()));
    }

    /**
     * Returns the server that an attempt reached.
     *
     * @throws IllegalArgumentException if its start was not recorded
     */
    ServerTrace server(AttemptArrived attempt) {
        ServerTrace server = servers.get(new ServerKey(attempt.endpointId(), attempt.incarnation()));
        if (server == null) {
            throw new IllegalArgumentException(
                    "the records have no start of server " + attempt.endpointId() + "#" + attempt.incarnation());
        }
        return server;
    }

    /** Returns whether a node stopped, killed or not, close to a time. */
    boolean nodeStoppedNear(int nodeIndex, long ticks) {
        return nodeStops.stream().anyMatch(stop -> isNear(stop, nodeIndex, ticks));
    }

    /** Returns whether a node was killed close to a time. */
    boolean nodeKilledNear(int nodeIndex, long ticks) {
        return nodeStops.stream().anyMatch(stop -> stop.killed() && isNear(stop, nodeIndex, ticks));
    }

    private static boolean isNear(NodeStopped stop, int nodeIndex, long ticks) {
        return stop.nodeIndex() == nodeIndex && Math.abs(stop.timeTicks() - ticks) < NODE_STOP_TOLERANCE_TICKS;
    }
}
