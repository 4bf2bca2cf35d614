package martenlatch.frontend;

/** The head of a request that cannot be accepted. */
public final class InvalidRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates the exception, without a stack trace: it describes what a client sent.
     *
     * @param status the HTTP status to answer with, a 4xx
     * @param message what is wrong with the request, told to the client
     */
    public InvalidRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** The HTTP status to answer with. */
    public int status() {
        return status;
    }
}
