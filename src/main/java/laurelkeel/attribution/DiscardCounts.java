package laurelkeel.attribution;

/**
 * The numbers of reports and cells that were discarded since the start.
 *
 * @param duplicateReports reports of a second that the same incarnation of the node had already reported
 * @param lateReports reports that arrived after their second was evaluated
 * @param invalidCells cells with inconsistent counts, and reports of a second too far in the future
 * @param overLimitCells cells and reports that exceeded the limits on their number
 */
public record DiscardCounts(long duplicateReports, long lateReports, long invalidCells, long overLimitCells) {}
