package martenlatch.admin;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * The response to a call of the admin API.
 *
 * @param status the HTTP status
 * @param json the body as JSON
 */
record AdminResponse(int status, String json) {

    /** Returns an error response with the reason why the call failed. */
    static AdminResponse error(int status, String reason) {
        return new AdminResponse(status, "{\"error\":\"" + escape(reason) + "\"}");
    }

    /** Escapes a text for use within a JSON string. */
    static String escape(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }
}
