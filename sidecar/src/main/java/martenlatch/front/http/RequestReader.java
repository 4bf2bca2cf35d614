package martenlatch.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import martenlatch.upstream.Upload;

/**
 * Makes requests of what the decoder has read: whole ones, or, where a body is long or there is no room to
 * collect it, those that have begun, whose body is passed on as it comes. The first thing that is no
 * request, or too large, or ambiguous about where it ends, becomes a {@link Refusal}, and is the last thing
 * heard of its connection.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {

    /** The longest body that is taken at all. */
    static final long MOST_BODY = 32 * 1024 * 1024;

    /** Why a connection is given up. */
    record Refusal(HttpResponseStatus status, String why) {}

    /** A whole request; its body takes room until it is answered. */
    record Whole(HttpRequest head, byte[] body) {}

    /** A request whose body is still coming. */
    record Begun(HttpRequest head, Upload upload) {}

    /** The body of the request that has begun is whole. */
    static final Object ALL_CAME = new Object();

    private final ClientGuard guard;
    private final BodyRoom room;
    private final Upload.Source source;
    private HttpRequest head;
    /** Read at once: a head that is passed on loses what concerns this connection alone. */
    private boolean keepAlive;

    private ByteBuf body;
    /** Where the body goes that is passed on, and how much of it has come. */
    private Upload upload;

    private long passed;
    private boolean owesContinue;
    private boolean over;

    /** A reader that has {@code client} wait when a body comes faster than it can be passed on. */
    RequestReader(ClientGuard guard, BodyRoom room, Upload.Source client) {
        this.guard = guard;
        this.room = room;
        this.source = client;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!over
                    && message instanceof HttpObject part
                    && part.decoderResult().isFailure()) {
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
        long length = HttpUtil.getContentLength(begun, 0L);
        if (!codings.isEmpty()
                && (codings.size() > 1
                        || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                        || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)))) {
            // Where it is not plain where a body ends, another request may hide in it.
            refuse(ctx, new Refusal(HttpResponseStatus.BAD_REQUEST, "ambiguous framing"));
        } else if (length > MOST_BODY) {
            refuse(ctx, tooLarge());
        } else if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
            refuse(ctx, new Refusal(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation"));
        } else {
            head = begun;
            keepAlive = HttpUtil.isKeepAlive(begun);
            guard.headTaken();
            owesContinue = expected != null;
            passed = 0;
            body = Unpooled.buffer(0, BodyRoom.MOST_COLLECTED);
            if (length > BodyRoom.MOST_COLLECTED) {
                passOn(ctx);
            } else {
                goOn();
            }
        }
    }

    private void goOn() {
        if (owesContinue) {
            owesContinue = false;
            source.goOn();
        }
    }

    private static Refusal tooLarge() {
        return new Refusal(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }

    private void take(ChannelHandlerContext ctx, HttpContent content) {
        ByteBuf bytes = content.content();
        boolean last = content instanceof LastHttpContent;
        if (upload == null) {
            int size = body.readableBytes();
            if (room.grow(size, size + bytes.readableBytes())) {
                body.writeBytes(bytes);
            } else {
                passOn(ctx);
            }
        }
        // What has begun may have been answered meanwhile.
        if (over) {
            return;
        }
        if (upload != null && bytes.isReadable()) {
            passed += bytes.readableBytes();
            if (passed > MOST_BODY) {
                refuse(ctx, tooLarge());
                return;
            }
            upload.offer(bytes.retain());
        }
        if (last) {
            end(ctx);
        }
    }

    private void end(ChannelHandlerContext ctx) {
        // No more is taken after a request that says it is the last.
        over = !keepAlive;
        HttpRequest request = head;
        head = null;
        if (upload != null) {
            Upload ended = upload;
            upload = null;
            ctx.fireChannelRead(ALL_CAME);
            ended.end();
        } else {
            byte[] bytes = ByteBufUtil.getBytes(body);
            dropBody(false);
            ctx.fireChannelRead(new Whole(request, bytes));
        }
    }

    /** From here on the body is passed on as it comes, what has been collected of it first. */
    private void passOn(ChannelHandlerContext ctx) {
        upload = new Upload(HttpUtil.getContentLength(head, -1L), new Upload.Source() {
            @Override
            public void pause(boolean paused) {
                source.pause(paused);
            }

            @Override
            public void goOn() {
                RequestReader.this.goOn();
            }
        });
        passed = body.readableBytes();
        if (passed > 0) {
            upload.offer(Unpooled.copiedBuffer(body));
        }
        dropBody(true);
        ctx.fireChannelRead(new Begun(head, upload));
    }

    private void dropBody(boolean release) {
        if (body != null) {
            if (release) {
                room.release(body.readableBytes());
            }
            body.release();
            body = null;
        }
    }

    /** Takes nothing more from this connection. */
    void stop() {
        over = true;
        dropBody(true);
        head = null;
        if (upload != null) {
            Upload stopped = upload;
            upload = null;
            stopped.cut();
        }
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
