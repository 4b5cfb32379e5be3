package laurelkeel.front;

/** How a req ended, as its front sees it. */
public enum End {
    COMPLETED,
    SHED,
    ERRORED,
    LEFT
}
