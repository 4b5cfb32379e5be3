package laurelkeel.attribution;

/**
 * How much of what nodes reported was not counted, since the start.
 *
 * @param duplicateReports reports of a second that their sender had reported before
 * @param lateReports reports that came after their second was evaluated
 * @param invalidCells cells whose figures no attempts can have, and reports from the future
 * @param overLimitCells cells and reports beyond the limits on their number
 */
public record DiscardCounts(long duplicateReports, long lateReports, long invalidCells, long overLimitCells) {}
