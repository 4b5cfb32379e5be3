package laurelkeel.testbed;

/** How servers of a new build take over. */
public enum ReplacementStyle {
    /** Each new server takes the place of an earlier one. */
    REPLACE,
    /** New servers start beside the earlier ones, which go when the build is released. */
    BESIDE
}
