package laurelkeel.attribution;

import java.util.List;
import java.util.Map;

/**
 * What all nodes reported of one second.
 *
 * @param cellsByNode by ascending node index, for each node that reported
 */
record ReportedSecond(long second, Map<Integer, List<NodeReport.Cell>> cellsByNode) {

    /** How many nodes reported the second. */
    int nodeCount() {
        return cellsByNode.size();
    }
}
