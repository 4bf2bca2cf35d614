package martenlatch.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import martenlatch.upstream.AnswerReader;

/**
 * Makes whole requests of what the decoder has read. The first thing that is no request, or too large, or
 * ambiguous about where it ends, becomes a {@link Refusal}, and is the last thing heard of its connection.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {

    /** Why a connection is given up. */
    record Refusal(HttpResponseStatus status, String why) {
    }

    private HttpRequest head;
    private ByteBuf body;
    private boolean over;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!over && message instanceof HttpObject part && part.decoderResult().isFailure()) {
                refuse(ctx, unreadable(part.decoderResult().cause()));
            }
            if (!over && message instanceof HttpRequest begun) {
                begin(ctx, begun);
            }
            if (!over && message instanceof HttpContent content) {
                take(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private static Refusal unreadable(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
            ? new Refusal(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
            : new Refusal(HttpResponseStatus.BAD_REQUEST, "malformed request");
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest begun) {
        HttpHeaders headers = begun.headers();
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        String expected = headers.get(HttpHeaderNames.EXPECT);
        if (!codings.isEmpty() && (codings.size() > 1 || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)))) {
            // Where it is not plain where a body ends, another request may hide in it.
            refuse(ctx, new Refusal(HttpResponseStatus.BAD_REQUEST, "ambiguous framing"));
        } else if (HttpUtil.getContentLength(begun, 0L) > AnswerReader.MOST_BODY) {
            refuse(ctx, tooLarge());
        } else if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
            refuse(ctx, new Refusal(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation"));
        } else {
            head = begun;
            body = Unpooled.buffer(0, AnswerReader.MOST_BODY);
            if (expected != null) {
                ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
    }

    private static Refusal tooLarge() {
        return new Refusal(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }

    private void take(ChannelHandlerContext ctx, HttpContent content) {
        if (content.content().readableBytes() > body.maxWritableBytes()) {
            refuse(ctx, tooLarge());
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            // No more is taken after a request that says it is the last.
            over = !HttpUtil.isKeepAlive(head);
            DefaultFullHttpRequest whole = new DefaultFullHttpRequest(head.protocolVersion(), head.method(),
                head.uri(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
            head = null;
            body = null;
            ctx.fireChannelRead(whole);
        }
    }

    /** Takes nothing more from this connection. */
    void stop() {
        over = true;
        if (body != null) {
            body.release();
            body = null;
        }
        head = null;
    }

    private void refuse(ChannelHandlerContext ctx, Refusal refusal) {
        stop();
        ctx.fireChannelRead(refusal);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event != ClientGuard.LATE) {
            ctx.fireUserEventTriggered(event);
        } else if (!over) {
            refuse(ctx, new Refusal(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time"));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stop();
        ctx.fireChannelInactive();
    }
}
