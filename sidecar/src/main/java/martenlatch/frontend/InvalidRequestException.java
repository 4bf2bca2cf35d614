package martenlatch.frontend;

/** Thrown if the head of a request is invalid and the request cannot be accepted. */
public final class InvalidRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates the exception, without a stack trace, as the cause lies in the input of a client.
     *
     * @param status the HTTP status of the response, a 4xx
     * @param message the error description for the client
     */
    public InvalidRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }
}
