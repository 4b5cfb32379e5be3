package laurelkeel.testbed;

/** How servers of a new build replace earlier ones. */
public enum ReplacementStyle {
    /** Each new server replaces an earlier one, which is drained. */
    REPLACE,
    /** New servers run alongside the earlier ones, which are drained when the build is released. */
    BESIDE
}
