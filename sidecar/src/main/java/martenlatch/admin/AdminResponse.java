package martenlatch.admin;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * The response to an operator's call.
 *
 * @param status the HTTP status
 * @param json the body
 */
record AdminResponse(int status, String json) {

    /** A response that tells what is wrong with the call. */
    static AdminResponse error(int status, String reason) {
        return new AdminResponse(status, "{\"error\":\"" + escape(reason) + "\"}");
    }

    /** Escapes a text for use between quotes. */
    static String escape(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }
}
