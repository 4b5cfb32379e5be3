package laurelkeel.cli;

import java.io.PrintStream;
import java.util.Locale;
import laurelkeel.cli.AttributionSummary.Finding;

/** Prints an attribution report as text: a table of all builds, the evidence for each, and the omitted reports. */
final class AttributionPrinter {
    private final PrintStream out;

    AttributionPrinter(PrintStream out) {
        this.out = out;
    }

    void print(AttributionSummary report) {
        out.printf(
                "%-7s %-14s %-12s %-10s %-24s %s%n",
                "build", "verdict", "probability", "evidence", "effect (95%)", "rollout age");
        report.findings().forEach(this::printRow);
        report.findings().forEach(this::printEvidence);
        out.printf(
                "%nreports omitted: %d duplicate, %d late; cells omitted: %d invalid, %d over the limit%n",
                report.duplicateReports(), report.lateReports(), report.invalidCells(), report.overLimitCells());
    }

    private void printRow(Finding finding) {
        String effect =
                String.format(Locale.ROOT, "%.3f (%.3f to %.3f)", finding.effect(), finding.low(), finding.high());
        out.printf(
                Locale.ROOT,
                "%-7d %-14s %-12.3f %-10s %-24s %d s%n",
                finding.build(),
                toWords(finding.verdict()),
                finding.probability(),
                toWords(finding.kind()),
                effect,
                finding.afterSeconds());
    }

    private void printEvidence(Finding finding) {
        out.println();
        out.println(finding.evidence() + (finding.hold() ? " (promotion held)" : ""));
        finding.considered().forEach(cause -> out.println("  considered: " + cause));
    }

    /** Converts a constant's name to lower-case words. */
    private static String toWords(String constantName) {
        return constantName.toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
