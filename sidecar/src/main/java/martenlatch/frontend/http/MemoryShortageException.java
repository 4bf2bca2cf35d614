package martenlatch.frontend.http;

/** Thrown if there is no memory for the rest of a request. */
final class MemoryShortageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception, without a stack trace, as the cause lies in the load. */
    MemoryShortageException() {
        super("no memory for the request", null, false, false);
    }
}
