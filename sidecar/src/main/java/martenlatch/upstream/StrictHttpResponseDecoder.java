package martenlatch.upstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * A response decoder that rejects malformed header lines as strictly as Netty's request decoder does. Netty's own
 * response decoder accepts some of them.
 */
final class StrictHttpResponseDecoder extends HttpResponseDecoder {

    /** Whether the decoder is between the status line and the end of the header section. */
    private boolean inHead;

    /** Returns whether bytes have arrived that are not decoded yet. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        inHead = true;
        return super.createMessage(initialLine);
    }

    /**
     * Returns true for the head, so that header lines that Netty accepts in responses only, such as one without a
     * colon, are rejected.
     */
    @Override
    protected boolean isDecodingRequest() {
        return inHead;
    }

    /** Called by the decoder when the head is complete. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        inHead = false;
        return super.isContentAlwaysEmpty(message);
    }
}
