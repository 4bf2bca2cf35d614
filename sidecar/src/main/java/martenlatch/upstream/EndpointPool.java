package martenlatch.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenlatch.net.Buffers;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.request.EndpointConnections;
import martenlatch.request.EndpointList;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;

/** The connections to each endpoint: one request at a time on each, kept alive, bounded in all. */
public final class EndpointPool implements EndpointConnections {

    /** An idle connection is closed at this part of the time after which the endpoint may close it. */
    private static final double IDLE_SHARE = 0.5;

    private static final int SWEEPS = 10;
    /** An endpoint that is well takes some of a body within this time. */
    private static final int STUCK_MS = 2000;
    /** Tells the endpoint how long its answer is waited for, in whole milliseconds. */
    private static final String DEADLINE = "X-Deadline-Ms";
    /**
     * A second answer may come some milliseconds after the first; on a connection in use again it would be
     * taken for the next one's. Longer would cost connections and not help: what comes later comes any time.
     */
    private static final double SETTLE_MS = 10;

    /**
     * What a client sent, beyond what the module decides by.
     *
     * @param headers what goes on; this pool's own from here on
     * @param body the whole body where {@code upload} is null
     * @param upload what passes the body on as it comes, or null
     */
    public record Message(HttpMethod method, String uri, HttpHeaders headers, byte[] body, Upload upload) {}

    /** One request on its way to an endpoint. */
    private final class Attempt implements Transport.Attempt {
        private final HttpRequest request;
        private final Upload upload;
        private Transport.AttemptListener ending;
        private Connection connection;
        private final Transport.WriteConditions conditions;
        private final double notAfter;
        private Scheduler.Timer tooLate;
        /** The system has taken the last byte: from here on the request may have run. */
        private boolean written;

        private Attempt(
                HttpRequest request,
                Upload upload,
                Transport.WriteConditions conditions,
                double notAfter,
                Transport.AttemptListener ending) {
            this.request = request;
            this.upload = upload;
            this.conditions = conditions;
            this.notAfter = notAfter;
            this.ending = ending;
        }

        /** Ends it unless it is on its way by the time after which it must not be. */
        private void mindTime() {
            if (ending != null && !written && notAfter < Double.POSITIVE_INFINITY) {
                tooLate = time.after(notAfter - time.now(), this::expire);
            }
        }

        private void expire() {
            Transport.AttemptListener told = ending;
            if (withdraw()) {
                told.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
            }
        }

        private void over() {
            ending = null;
            if (tooLate != null) {
                tooLate.cancel();
            }
        }

        /** To be called just before the request is written: while its connection was established time went by. */
        private void setDeadlineHeader() {
            long remaining = Math.max(1, (long) Math.ceil(conditions.remainingMs()));
            request.headers().set(DEADLINE, remaining);
        }

        /** It will not be written any more. */
        private void drop() {
            ReferenceCountUtil.release(request);
        }

        /** Closes the connection, which tells the endpoint. */
        @Override
        public boolean giveUp() {
            over();
            connection.close();
            return written;
        }

        @Override
        public boolean withdraw() {
            if (written || ending == null) {
                return false;
            }
            over();
            connection.close();
            return true;
        }

        private void end(AttemptOutcome outcome, EndpointResponse answer) {
            Transport.AttemptListener told = ending;
            over();
            if (told != null) {
                told.onAttemptFinished(outcome, answer);
            }
        }
    }

    private static final class Endpoint {
        /** Null once another endpoint has taken its place. */
        InetSocketAddress address;

        double startedMs;
        /** The most recently used last. */
        final Deque<Connection> idle = new ArrayDeque<>();
        /** Those that are coming up, each for an attempt that waits for it. */
        final Set<Connection> rising = new LinkedHashSet<>();
        /** Raised when the endpoint's connections are of no more use; older ones are not kept. */
        int generation;
    }

    private final Scheduler time;
    private final RateLimitedLogger complaints;
    private final Bootstrap bootstrap;
    private double idleMs;
    private final int most;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** Who has each address: a list of ten thousand must not be gone through for every entry of it. */
    private final Map<InetSocketAddress, Endpoint> atAddress = new HashMap<>();
    /** All idle connections, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    /** Attempts that wait for connections nobody wants any more. */
    private final List<Attempt> needless = new ArrayList<>();

    private Scheduler.Timer sweeping;
    private int open;

    public EndpointPool(
            EventLoop loop, Scheduler time, RateLimitedLogger complaints, double dialMs, double idleCloseMs, int most) {
        this.time = time;
        this.complaints = complaints;
        this.most = most;
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(EndpointSocket::new)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Buffers.WATER_MARK)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Buffers.reads())
                .option(ChannelOption.SO_RCVBUF, Buffers.SYSTEM);
        retune(dialMs, idleCloseMs);
        sweep();
    }

    /** How long a connect may take, and after how long at most an endpoint closes an idle connection. */
    public void retune(double dialMs, double idleCloseMs) {
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(dialMs));
        idleMs = idleCloseMs * IDLE_SHARE;
    }

    private void sweep() {
        sweeping = time.after(idleMs / SWEEPS, () -> {
            closeStale();
            sweep();
        });
    }

    /** Takes in where endpoints listen; connections to a process or address that is no more are dropped. */
    @Override
    public void update(EndpointList list) {
        if (list.full()) {
            Set<String> named = new HashSet<>();
            list.entries().forEach(entry -> named.add(entry.endpoint().id()));
            for (String id : List.copyOf(endpoints.keySet())) {
                if (!named.contains(id)) {
                    remove(id);
                }
            }
        }
        for (EndpointList.Entry entry : list.entries()) {
            String id = entry.endpoint().id();
            if (entry.endpoint().status() == EndpointStatus.GONE) {
                remove(id);
                continue;
            }
            Endpoint endpoint = endpoints.computeIfAbsent(id, k -> new Endpoint());
            if (!entry.address().equals(endpoint.address) || entry.endpoint().startedMs() != endpoint.startedMs) {
                retire(endpoint);
                leaveAddress(endpoint);
            }
            endpoint.address = entry.address();
            endpoint.startedMs = entry.endpoint().startedMs();
            settleAddress(endpoint);
            if (entry.endpoint().status() != EndpointStatus.READY) {
                leaveWaiting(endpoint);
            }
        }
    }

    private void leaveWaiting(Endpoint endpoint) {
        endpoint.rising.forEach(connection -> needless.add(connection.attempt));
    }

    /** A send counts from its first byte, so what was decided before the list came must not begin after. */
    @Override
    public void withdrawAttempts() {
        List<Attempt> left = List.copyOf(needless);
        needless.clear();
        for (Attempt attempt : left) {
            Transport.AttemptListener told = attempt.ending;
            if (attempt.withdraw()) {
                told.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
            }
        }
    }

    private void remove(String id) {
        Endpoint removed = endpoints.remove(id);
        if (removed != null) {
            retire(removed);
            leaveAddress(removed);
        }
    }

    private void leaveAddress(Endpoint endpoint) {
        if (endpoint.address != null) {
            atAddress.remove(endpoint.address, endpoint);
        }
    }

    /** At one address there is one process: what was there before it is not there any more. */
    private void settleAddress(Endpoint told) {
        Endpoint other = atAddress.putIfAbsent(told.address, told);
        if (other == null || other == told) {
            return;
        }
        Endpoint former = told.startedMs < other.startedMs ? told : other;
        if (former == other) {
            atAddress.put(told.address, told);
        }
        retire(former);
        former.address = null;
    }

    /** How many endpoints are known. */
    public int size() {
        return endpoints.size();
    }

    /** Whether an endpoint is known and has an address that nobody has taken. */
    boolean hasAddress(String id) {
        Endpoint endpoint = endpoints.get(id);
        return endpoint != null && endpoint.address != null;
    }

    /** How many addresses are kept. */
    int addresses() {
        return atAddress.size();
    }

    private void retire(Endpoint endpoint) {
        endpoint.generation++;
        leaveWaiting(endpoint);
        closeAll(endpoint);
    }

    /** Closes the idle connections to an endpoint. */
    @Override
    public void closeIdleConnections(String id) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            closeAll(endpoint);
        }
    }

    private static void closeAll(Endpoint endpoint) {
        for (Connection connection : List.copyOf(endpoint.idle)) {
            connection.close();
        }
    }

    /** What sends the attempts of one call, all with the same message. */
    public Transport carrier(Message message) {
        return new MessageCarrier(message);
    }

    /** An attempt that was over before it began. */
    private static final Transport.Attempt NOTHING = new Transport.Attempt() {
        @Override
        public boolean giveUp() {
            return false;
        }

        @Override
        public boolean withdraw() {
            return false;
        }
    };

    private final class MessageCarrier implements Transport {
        private final Message message;
        private boolean sent;

        MessageCarrier(Message message) {
            this.message = message;
        }

        @Override
        public Transport.Attempt send(
                String server, WriteConditions conditions, double notAfter, AttemptListener ending) {
            if (message.upload() != null && !message.upload().isFresh()) {
                // A part of the body is gone: nothing is sent, and the endpoint is not to blame.
                ending.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
                return NOTHING;
            }
            // Hardly any request needs a second attempt: only those copy the headers.
            HttpHeaders headers = sent ? message.headers().copy() : message.headers();
            sent = true;
            return EndpointPool.this.send(
                    server,
                    new EndpointPool.Attempt(
                            request(message, headers), message.upload(), conditions, notAfter, ending));
        }
    }

    private static HttpRequest request(Message from, HttpHeaders headers) {
        if (from.upload() != null) {
            DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), headers);
            if (from.upload().length() >= 0) {
                HttpUtil.setContentLength(head, from.upload().length());
            } else {
                HttpUtil.setTransferEncodingChunked(head, true);
            }
            return head;
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                from.method(),
                from.uri(),
                Unpooled.wrappedBuffer(from.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    /** Sends a request once, on an idle connection or a new one. It may end before this returns. */
    private Attempt send(String id, Attempt attempt) {
        Endpoint endpoint = endpoints.get(id);
        closeStale();
        Connection connection = endpoint == null ? null : reusable(endpoint);
        if (connection != null) {
            connection.write(attempt);
        } else if (endpoint == null || endpoint.address == null) {
            refuse(attempt, "no address is known of " + id);
        } else if (open >= most && !closeLongestIdle()) {
            refuse(attempt, "all " + most + " connections to endpoints are busy");
        } else {
            new Connection(endpoint).open(attempt);
        }
        attempt.mindTime();
        return attempt;
    }

    /** The most recently used idle connection that is still in good order; others are closed. */
    private Connection reusable(Endpoint endpoint) {
        double settled = time.now() - SETTLE_MS;
        List<Connection> stale = new ArrayList<>();
        Connection found = null;
        for (var newest = endpoint.idle.descendingIterator(); newest.hasNext() && found == null; ) {
            Connection connection = newest.next();
            if (connection.idleSince <= settled) {
                if (connection.channel.isSilent()) {
                    found = connection;
                } else {
                    stale.add(connection);
                }
            }
        }
        stale.forEach(Connection::close);
        return found;
    }

    private void refuse(Attempt attempt, String why) {
        complaints.log("no connection", why);
        attempt.drop();
        attempt.end(AttemptOutcome.CONNECT_ERROR, null);
    }

    private boolean closeLongestIdle() {
        if (idle.isEmpty()) {
            return false;
        }
        idle.iterator().next().close();
        return true;
    }

    private void closeStale() {
        double before = time.now() - idleMs;
        while (!idle.isEmpty() && idle.iterator().next().idleSince < before) {
            closeLongestIdle();
        }
    }

    /** Lets go of all idle connections; no more are looked after. */
    public void close() {
        sweeping.cancel();
        endpoints.values().forEach(EndpointPool::closeAll);
    }

    private final class Connection implements AnswerReader.Listener, Upload.Sink {
        private final Endpoint endpoint;
        private final int generation;
        private final AnswerReader reader = new AnswerReader(this, time);
        /** Whose body is being written, with its attempt. */
        private Attempt uploading;

        private Scheduler.Timer stuck;
        private EndpointSocket channel;
        private Attempt attempt;
        private double idleSince;
        /** What the answer that is passed on says of its connection. */
        private boolean keepsAlive;

        Connection(Endpoint endpoint) {
            this.endpoint = endpoint;
            generation = endpoint.generation;
        }

        void open(Attempt first) {
            attempt = first;
            first.connection = this;
            ChannelFuture connecting = bootstrap
                    .clone()
                    .handler(new ChannelInitializer<EndpointSocket>() {
                        @Override
                        protected void initChannel(EndpointSocket fresh) {
                            fresh.pipeline().addLast(new HttpRequestEncoder());
                            reader.addTo(fresh.pipeline());
                            fresh.pipeline().addLast(new Troubles());
                        }
                    })
                    .connect(endpoint.address);
            if (!(connecting.channel() instanceof EndpointSocket socket)) {
                // There is no descriptor for it: nothing was opened, and nothing sent.
                attempt = null;
                refuse(first, String.valueOf(connecting.cause()));
                return;
            }
            channel = socket;
            open++;
            channel.closeFuture().addListener(closed -> open--);
            endpoint.rising.add(this);
            connecting.addListener(connected -> {
                endpoint.rising.remove(this);
                if (!connected.isSuccess()) {
                    first.drop();
                    channel.close();
                    lost();
                } else if (first.ending == null || !first.conditions.isClientConnected()) {
                    // Given up, or its client has left, which the event loop may hear of only after this.
                    first.drop();
                    channel.close();
                } else if (time.now() > first.notAfter) {
                    // Its timer is due too, and comes after what the network has to tell.
                    first.drop();
                    first.expire();
                } else {
                    send(first);
                }
            });
        }

        void write(Attempt next) {
            endpoint.idle.remove(this);
            idle.remove(this);
            attempt = next;
            next.connection = this;
            send(next);
        }

        private void send(Attempt sent) {
            sent.setDeadlineHeader();
            if (sent.upload == null) {
                channel.writeAndFlush(sent.request).addListener(written -> written(sent, written.isSuccess()));
                return;
            }
            if (!sent.upload.isFresh()) {
                // The client has gone in the meantime: nothing of it was sent.
                sent.drop();
                channel.close();
                return;
            }
            uploading = sent;
            channel.writeAndFlush(sent.request);
            // An endpoint may turn a request away before all of it has come.
            reader.expect();
            sent.upload.attach(this);
        }

        private void written(Attempt sent, boolean well) {
            sent.written = well;
            if (well && sent.tooLate != null) {
                sent.tooLate.cancel();
            }
            if (well) {
                reader.expect();
            } else {
                channel.close();
            }
        }

        @Override
        public void part(ByteBuf bytes) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
            mindUpload();
        }

        /**
         * Where an endpoint takes nothing more of a body for a while, it does not read: the attempt is
         * over.
         */
        private void mindUpload() {
            if (uploading == null) {
                return;
            }
            boolean full = !channel.isWritable();
            uploading.upload.full(full);
            if (full && stuck == null) {
                stuck = time.after(STUCK_MS, this::close);
            } else if (!full && stuck != null) {
                stuck.cancel();
                stuck = null;
            }
        }

        @Override
        public void end() {
            Attempt sent = uploading;
            stopWatching();
            uploading = null;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(written -> written(sent, written.isSuccess()));
        }

        private void stopWatching() {
            if (stuck != null) {
                stuck.cancel();
                stuck = null;
            }
        }

        private void stopUpload() {
            stopWatching();
            if (uploading != null) {
                Attempt stopped = uploading;
                uploading = null;
                stopped.upload.detach();
            }
        }

        void close() {
            endpoint.idle.remove(this);
            idle.remove(this);
            stopUpload();
            channel.close();
        }

        /** The connection is no more; the attempt on it ends by whether its last byte was written. */
        private void lost() {
            endpoint.idle.remove(this);
            idle.remove(this);
            stopUpload();
            Attempt ended = attempt;
            attempt = null;
            if (ended != null) {
                ended.end(ended.written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_ERROR, null);
            }
        }

        @Override
        public void answered(EndpointResponse answer, boolean clean) {
            Attempt ended = attempt;
            attempt = null;
            boolean early = uploading != null;
            // First the connection, then the word: what it leads to may need the connection.
            keep(clean && !early && answer.keepAlive());
            if (ended != null) {
                AttemptOutcome outcome = answer.outcome();
                if (early && outcome == AttemptOutcome.OK) {
                    // It says that it has run, and can't have read what it was to run: who knows.
                    outcome = AttemptOutcome.RESET;
                }
                ended.end(outcome, outcome == AttemptOutcome.RESET ? null : answer);
            }
        }

        private void keep(boolean good) {
            if (good && channel.isActive() && generation == endpoint.generation) {
                idleSince = time.now();
                endpoint.idle.addLast(this);
                idle.add(this);
            } else {
                close();
            }
        }

        @Override
        public void begun(EndpointResponse answer) {
            Attempt ended = attempt;
            attempt = null;
            if (ended == null || uploading != null) {
                answer.remainingBody().abandon();
                close();
                if (ended != null) {
                    ended.end(AttemptOutcome.RESET, null);
                }
                return;
            }
            keepsAlive = answer.keepAlive();
            ended.end(AttemptOutcome.OK, answer);
        }

        @Override
        public void ended(boolean clean) {
            // It may have been paused when its last bytes had come already.
            channel.config().setAutoRead(true);
            keep(clean && keepsAlive);
        }

        @Override
        public void read(boolean on) {
            channel.config().setAutoRead(on);
        }

        @Override
        public void spoilt() {
            close();
        }

        private final class Troubles extends ChannelInboundHandlerAdapter {
            /** Told behind the last of what has come, which may be an answer that this is the end of. */
            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                lost();
            }

            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ctx) {
                mindUpload();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                // A reset is an everyday end of an attempt and told as such; the rest operators should see.
                if (!(cause instanceof java.io.IOException)) {
                    complaints.logException("connection to an endpoint", cause);
                }
                close();
            }
        }
    }
}
