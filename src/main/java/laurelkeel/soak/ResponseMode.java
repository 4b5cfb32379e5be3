package laurelkeel.soak;

/** How a faulty endpoint responds to one attempt. */
enum ResponseMode {
    /** A complete response with a length. */
    COMPLETE,
    /** A complete response that ends with its connection. */
    COMPLETE_UNTIL_CLOSE,
    /** A complete response behind an interim one, in two writes. */
    COMPLETE_IN_PIECES,
    /** A part of a response without a length, then a reset. */
    UNTIL_CLOSE_RESET,
    /** A part of a response with a length, then a reset. */
    LENGTH_RESET,
    /** A part of a response with a length, then an orderly end. */
    LENGTH_CUT_SHORT,
    /** A part of a chunked response, then a reset. */
    CHUNKS_RESET,
    /** Bytes that are no HTTP. */
    NOISE,
    /** Nothing for a long time. */
    SILENCE,
    /** A complete response, twice. */
    DUPLICATE,
    /** An orderly end without a response. */
    CLOSED_UNANSWERED,
    /** 503 that says that the attempt was not processed. */
    UNPROCESSED,
    /** 500. */
    ERROR
}
