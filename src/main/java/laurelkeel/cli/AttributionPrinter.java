package laurelkeel.cli;

import java.io.PrintStream;
import java.util.Locale;
import laurelkeel.cli.AttributionSummary.Finding;

/** Prints an attribution report for people: a table of all builds, the evidence of each, and what was left out. */
final class AttributionPrinter {
    private final PrintStream out;

    AttributionPrinter(PrintStream out) {
        this.out = out;
    }

    void print(AttributionSummary report) {
        out.printf(
                "%-7s %-14s %-12s %-10s %-24s %s%n",
                "build", "verdict", "probability", "by", "effect (95%)", "on trial for");
        report.findings().forEach(this::printRow);
        report.findings().forEach(this::printEvidence);
        out.printf(
                "%nreports left out: %d doubled, %d late; cells: %d unsound, %d beyond the bounds%n",
                report.duplicateReports(), report.lateReports(), report.invalidCells(), report.overLimitCells());
    }

    private void printRow(Finding finding) {
        String effect =
                String.format(Locale.ROOT, "%.3f (%.3f to %.3f)", finding.effect(), finding.low(), finding.high());
        out.printf(
                Locale.ROOT,
                "%-7d %-14s %-12.3f %-10s %-24s %d s%n",
                finding.build(),
                words(finding.verdict()),
                finding.probability(),
                words(finding.kind()),
                effect,
                finding.afterSeconds());
    }

    private void printEvidence(Finding finding) {
        out.println();
        out.println(finding.evidence() + (finding.hold() ? " (held)" : ""));
        finding.considered().forEach(cause -> out.println("  considered: " + cause));
    }

    /** A constant's name as words. */
    private static String words(String constantName) {
        return constantName.toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
