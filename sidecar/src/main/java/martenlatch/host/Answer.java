package martenlatch.host;

/**
 * A final answer of an endpoint as it came.
 *
 * @param status the HTTP status
 * @param notRun whether it says that the request was never begun
 * @param keepAlive whether its connection may be used again
 * @param contentType null where it told none
 * @param body empty where a proxy passes it on by itself, or where there is a rest
 * @param rest what is passed on as it comes, or null where the body is whole
 */
public record Answer(int status, boolean notRun, boolean keepAlive, String contentType, byte[] body,
        Rest rest) {

    /** An answer that is whole. */
    public Answer(int status, boolean notRun, boolean keepAlive, String contentType, byte[] body) {
        this(status, notRun, keepAlive, contentType, body, null);
    }
}
