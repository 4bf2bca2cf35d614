package martenlatch.frontend.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** A request decoder that tells whether it holds a part of a request. */
final class ClientRequestDecoder extends HttpRequestDecoder {

    private final RequestHeadersFactory headersFactory;

    ClientRequestDecoder(RequestHeadersFactory headersFactory, RequestHeadersFactory trailersFactory) {
        super(new HttpDecoderConfig().setHeadersFactory(headersFactory).setTrailersFactory(trailersFactory));
        this.headersFactory = headersFactory;
    }

    /** Returns whether a request head has begun and is not complete. */
    boolean isInHead() {
        return headersFactory.hasIncomplete() || actualReadableBytes() > 0;
    }
}
