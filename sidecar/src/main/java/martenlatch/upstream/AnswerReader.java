package martenlatch.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RemainingBody;
import martenlatch.request.Scheduler;

/**
 * Reads the one answer that a connection to an endpoint waits for. It is told once all that has come with it
 * is read, so that bytes that don't belong to it are never taken for the next one. A long one is told at its
 * first bytes and passed on as it comes.
 */
public final class AnswerReader extends ChannelInboundHandlerAdapter {

    /** The largest body that is collected. */
    public static final int MOST_BODY = 64 * 1024;
    /** The largest body that is passed on: what claims more is no answer of a service like these. */
    public static final long MOST_PASSED_ON = 32 * 1024 * 1024;
    /** Answers 1xx ahead of the final one; more are no good sign. */
    private static final int MOST_INTERIM = 16;

    /** What comes of it. */
    public interface Listener {
        /** The answer is whole; {@code clean} if nothing came with it, so that the connection may go on. */
        void answered(EndpointResponse answer, boolean clean);

        /** A long answer has begun; it has a {@link EndpointResponse#rest}. */
        void begun(EndpointResponse answer);

        /** The long answer that has begun is whole; {@code clean} as above. */
        void ended(boolean clean);

        /** Reads on from the connection, or not. */
        void read(boolean on);

        /** What has come is no answer, or was not asked for: the connection is of no further use. */
        void spoilt();
    }

    private static final class Decoder extends HttpResponseDecoder {
        private boolean inHead;

        boolean holdsBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            inHead = true;
            return super.createMessage(initialLine);
        }

        /** The codec is lenient with lines of an answer's head, as with one that has no colon: not here. */
        @Override
        protected boolean isDecodingRequest() {
            return inHead;
        }

        /** Asked when the head is read. */
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            inHead = false;
            return super.isContentAlwaysEmpty(message);
        }
    }

    /** Sees the bytes before the decoder, which keeps half a line to itself. */
    private final class Gate extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (expecting && whole == null && !passedAll) {
                ctx.fireChannelRead(bytes);
                return;
            }
            ReferenceCountUtil.release(bytes);
            if (whole != null || passedAll) {
                more = true;
            } else {
                spoil();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            broken |= cause instanceof IOException;
            ctx.fireExceptionCaught(cause);
        }
    }

    private final Listener listener;
    private final Scheduler time;
    private final Decoder decoder = new Decoder();
    private boolean expecting;
    private boolean spoilt;
    private HttpResponse head;
    private ByteBuf body;
    private int interim;
    private EndpointResponse whole;
    /** More has come with the answer than belongs to it. */
    private boolean more;
    /** The long answer that is passed on, how much of it has come, and whether that was all. */
    private PassedOn passing;

    private long passed;
    private boolean passedAll;
    /** The connection has broken: its end is not the end of an answer. */
    private boolean broken;

    public AnswerReader(Listener listener, Scheduler time) {
        this.listener = listener;
        this.time = time;
    }

    public void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new Gate(), decoder, this);
    }

    /** A request has been written whole: from here on what comes may be its answer. */
    public void expect() {
        expecting = true;
    }

    private void spoil() {
        dropBody();
        cut();
        if (!spoilt) {
            spoilt = true;
            listener.spoilt();
        }
    }

    private void cut() {
        if (passing != null) {
            passing.end(false);
            passing = null;
        }
        passedAll = false;
    }

    private void dropBody() {
        if (body != null) {
            body.release();
            body = null;
        }
        head = null;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (spoilt) {
                return;
            }
            if (whole != null || passedAll) {
                more = true;
                return;
            }
            if (message instanceof HttpResponse response) {
                begin(response);
            }
            if (head != null && message instanceof HttpContent content) {
                take(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpResponse response) {
        if (response.decoderResult().isFailure() || !fits(response)) {
            spoil();
            return;
        }
        dropBody();
        head = response;
        body = Unpooled.buffer();
        if (response.status().code() == 200 && HttpUtil.getContentLength(response, 0L) > MOST_BODY) {
            passOn();
        }
    }

    /** From now on what comes of the answer is passed on. */
    private void passOn() {
        passing = new PassedOn(
                HttpUtil.getContentLength(head, -1L),
                new PassedOn.Connection() {
                    @Override
                    public void read(boolean on) {
                        listener.read(on);
                    }

                    @Override
                    public void close() {
                        spoil();
                    }
                },
                time);
        passed = body.readableBytes();
        byte[] first = ByteBufUtil.getBytes(body);
        EndpointResponse answer = answer(new byte[0], passing);
        PassedOn begun = passing;
        if (first.length > 0) {
            begun.part(first);
        }
        listener.begun(answer);
    }

    private EndpointResponse answer(byte[] bytes, RemainingBody rest) {
        return new EndpointResponse(
                head.status().code(),
                "1".equals(head.headers().get("X-Not-Run")),
                HttpUtil.isKeepAlive(head),
                head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                bytes,
                rest);
    }

    /** Whether a head can be that of an answer, and says where the answer ends. */
    private boolean fits(HttpResponse response) {
        int status = response.status().code();
        if (status < 200) {
            return status >= 100
                    && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code()
                    && ++interim <= MOST_INTERIM;
        }
        String coding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        if (status >= 600) {
            return false;
        }
        if (coding != null) {
            return HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding);
        }
        // Where the connection's end ends a body, its head must say that it will.
        return HttpUtil.isContentLengthSet(response)
                ? HttpUtil.getContentLength(response) <= (status == 200 ? MOST_PASSED_ON : MOST_BODY)
                : !HttpUtil.isKeepAlive(response);
    }

    private void take(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (content.decoderResult().isFailure() || last && broken) {
            spoil();
            return;
        }
        if (passing == null && body.readableBytes() + content.content().readableBytes() > MOST_BODY) {
            if (head.status().code() != 200) {
                spoil();
                return;
            }
            passOn();
            if (spoilt) {
                return;
            }
        }
        if (passing != null) {
            pass(content.content(), last);
            return;
        }
        body.writeBytes(content.content());
        if (last) {
            if (head.status().code() >= 200) {
                whole = answer(ByteBufUtil.getBytes(body), null);
            }
            dropBody();
        }
    }

    private void pass(ByteBuf bytes, boolean last) {
        passed += bytes.readableBytes();
        if (passed > MOST_PASSED_ON) {
            spoil();
            return;
        }
        if (bytes.isReadable()) {
            passing.part(ByteBufUtil.getBytes(bytes));
        }
        if (last && !spoilt) {
            passedAll = true;
            dropBody();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        conclude();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        conclude();
        dropBody();
        cut();
        ctx.fireChannelInactive();
    }

    private void conclude() {
        if (passedAll) {
            boolean fits = !more && !decoder.holdsBytes();
            PassedOn over = passing;
            passing = null;
            passedAll = false;
            more = false;
            interim = 0;
            expecting = false;
            // First the connection, then the word: what it leads to may need the connection.
            listener.ended(fits);
            over.end(true);
            return;
        }
        if (whole == null) {
            return;
        }
        EndpointResponse answer = whole;
        boolean clean = !more && !decoder.holdsBytes();
        whole = null;
        more = false;
        interim = 0;
        expecting = false;
        listener.answered(answer, clean);
    }
}
