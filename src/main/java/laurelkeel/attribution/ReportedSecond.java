package laurelkeel.attribution;

import java.util.List;
import java.util.Map;

/**
 * The reports of all nodes for one second.
 *
 * @param second number of the second on the rollout service's clock
 * @param cellsByNode the cells of each node that reported, in ascending order of node indexes
 */
record ReportedSecond(long second, Map<Integer, List<NodeReport.Cell>> cellsByNode) {

    /** Returns the number of nodes that reported the second. */
    int nodeCount() {
        return cellsByNode.size();
    }
}
