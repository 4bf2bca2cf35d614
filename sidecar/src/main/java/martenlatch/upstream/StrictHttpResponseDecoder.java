package martenlatch.upstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Netty's response decoder, which is lenient with malformed header lines, made as strict as that for requests. */
final class StrictHttpResponseDecoder extends HttpResponseDecoder {

    private boolean inHead;

    /** Whether bytes have arrived that are not decoded yet. */
    boolean holdsBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        inHead = true;
        return super.createMessage(initialLine);
    }

    /** Header lines that are accepted in responses only, such as one without a colon, are rejected by this. */
    @Override
    protected boolean isDecodingRequest() {
        return inHead;
    }

    /** Called when the head is complete. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        inHead = false;
        return super.isContentAlwaysEmpty(message);
    }
}
