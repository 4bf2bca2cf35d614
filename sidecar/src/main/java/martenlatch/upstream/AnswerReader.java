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
import martenlatch.host.Answer;

/**
 * Reads the one answer that a connection to an endpoint waits for. It is told once all that has come with it
 * is read, so that bytes that don't belong to it are never taken for the next one.
 */
public final class AnswerReader extends ChannelInboundHandlerAdapter {

    /** The largest body that the protocol allows. */
    public static final int MOST_BODY = 64 * 1024;
    /** Answers 1xx ahead of the final one; more are no good sign. */
    private static final int MOST_INTERIM = 16;

    /** What comes of it. */
    public interface Listener {
        /** The answer is whole; {@code clean} if nothing came with it, so that the connection may go on. */
        void answered(Answer answer, boolean clean);

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
            if (expecting && whole == null) {
                ctx.fireChannelRead(bytes);
                return;
            }
            ReferenceCountUtil.release(bytes);
            if (whole != null) {
                more = true;
            } else {
                spoil();
            }
        }
    }

    private final Listener listener;
    private final Decoder decoder = new Decoder();
    private boolean expecting;
    private boolean spoilt;
    private HttpResponse head;
    private ByteBuf body;
    private int interim;
    private Answer whole;
    /** More has come with the answer than belongs to it. */
    private boolean more;

    public AnswerReader(Listener listener) {
        this.listener = listener;
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
        if (!spoilt) {
            spoilt = true;
            listener.spoilt();
        }
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
            if (whole != null) {
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
    }

    /** Whether a head can be that of an answer, and says where the answer ends. */
    private boolean fits(HttpResponse response) {
        int status = response.status().code();
        if (status < 200) {
            return status >= 100 && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code()
                && ++interim <= MOST_INTERIM;
        }
        String coding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        // Where only the connection's end ends a body, it may be cut short: that counts as no answer.
        return status < 600 && (coding == null
            ? HttpUtil.isContentLengthSet(response) && HttpUtil.getContentLength(response) <= MOST_BODY
            : HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
    }

    private void take(HttpContent content) {
        if (content.decoderResult().isFailure()
                || body.readableBytes() + content.content().readableBytes() > MOST_BODY) {
            spoil();
            return;
        }
        body.writeBytes(content.content());
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (head.status().code() >= 200) {
            whole = new Answer(head.status().code(), "1".equals(head.headers().get("X-Not-Run")),
                HttpUtil.isKeepAlive(head), head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                ByteBufUtil.getBytes(body));
        }
        dropBody();
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
        ctx.fireChannelInactive();
    }

    private void conclude() {
        if (whole == null) {
            return;
        }
        Answer answer = whole;
        boolean clean = !more && !decoder.holdsBytes();
        whole = null;
        more = false;
        interim = 0;
        expecting = false;
        listener.answered(answer, clean);
    }
}
