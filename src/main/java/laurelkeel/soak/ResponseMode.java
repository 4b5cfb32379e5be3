package laurelkeel.soak;

/** How a faulty endpoint responds to one attempt. */
enum ResponseMode {
    /** A complete response with a content length. */
    COMPLETE,
    /** A complete response without a content length, delimited by the end of the connection. */
    COMPLETE_UNTIL_CLOSE,
    /** A complete response after an interim (1xx) response, in two writes. */
    COMPLETE_IN_PIECES,
    /** A part of a response without a content length, then a connection reset. */
    UNTIL_CLOSE_RESET,
    /** A part of a response with a content length, then a connection reset. */
    LENGTH_RESET,
    /** A part of a response with a content length, then a regular close of the connection. */
    LENGTH_TRUNCATED,
    /** A part of a chunked response, then a connection reset. */
    CHUNKS_RESET,
    /** Bytes that are not HTTP. */
    NOT_HTTP,
    /** No response; the connection stays open for 4 s. */
    SILENCE,
    /** A complete response, sent twice. */
    DUPLICATE,
    /** A regular close of the connection without a response. */
    CLOSED_UNANSWERED,
    /** Status 503 with the header that states that the attempt was not processed. */
    UNPROCESSED,
    /** Status 500. */
    ERROR
}
