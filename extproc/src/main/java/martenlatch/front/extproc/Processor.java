package martenlatch.front.extproc;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import martenlatch.front.CallReader;
import martenlatch.host.Answer;
import martenlatch.host.Carrier;
import martenlatch.host.Client;
import martenlatch.host.Complaints;
import martenlatch.host.Exchange;
import martenlatch.host.Time;
import martenlatch.policy.Contract.Outcome;
import martenlatch.policy.Contract.RequestClass;
import martenlatch.policy.Contract.Settings;

/**
 * The front for other proxies: a gRPC stream is a consultation, and a consultation is one attempt of a
 * request that the proxy makes. It runs on one thread; what is decided is decided by the module that the
 * host asks.
 */
final class Processor extends ExternalProcessorGrpc.ExternalProcessorImplBase {

    /** Where a proxy puts the attributes that it was asked to send. */
    static final String ATTRIBUTES = "envoy.filters.http.ext_proc";
    static final String FLAGS_ATTRIBUTE = "response.flags";
    /** For a proxy that sends no attributes: its response flags in words. */
    static final String FLAGS_HEADER = "x-proxy-response-flags";
    static final String ATTEMPT_HEADER = "x-envoy-attempt-count";
    /** An id is remembered, so it must not be of any length. */
    private static final int MOST_ID = 256;
    /** Where there is no room for what is new, it lasts until something old is forgotten. */
    private static final double FULL_COOL_DOWN_MS = 1000;
    private static final byte[] NO_BODY = {};

    private final Time time;
    private final Executor soon;
    private final Complaints complaints;
    private final Exchange exchange;
    private final EndpointAddresses addresses;
    private final ExtProcSettings own;
    private final Settings site;
    private final CallReader reader;
    private final Consultations known;
    private final Map<String, ProxyCall> calls = new HashMap<>();
    /** Consultations that wait until all that has arrived with them is read. */
    private final Deque<Consultation> inbox = new ArrayDeque<>();
    private int streams;
    private double endsAt = Double.POSITIVE_INFINITY;

    /**
     * A front that nobody has consulted yet.
     *
     * @param soon runs a task on the same thread after what is in hand, and after what has been received
     */
    Processor(Time time, Executor soon, Complaints complaints, Exchange exchange, EndpointAddresses addresses,
            ExtProcSettings own, Settings site) {
        this.time = time;
        this.soon = soon;
        this.complaints = complaints;
        this.exchange = exchange;
        this.addresses = addresses;
        this.own = own;
        this.site = site;
        reader = new CallReader(site);
        known = new Consultations(own.rememberMost(), own.rememberMs());
    }

    /** From now on no request is taken that would not be over after so many milliseconds. */
    void drain(double leftMs) {
        endsAt = time.now() + leftMs;
    }

    int openStreams() {
        return streams;
    }

    int openCalls() {
        return calls.size();
    }

    int remembered() {
        known.forgetOld(time.now());
        return known.size();
    }

    @Override
    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> out) {
        return new Consultation((ServerCallStreamObserver<ProcessingResponse>) out);
    }

    /** Decides all that has come, in its order; what its proxy has given up since is passed over. */
    private void decideAll() {
        for (int left = inbox.size(); left > 0; left--) {
            Consultation next = inbox.poll();
            if (next.state != State.WAITS) {
                continue;
            }
            try {
                decide(next);
            } catch (RuntimeException e) {
                complaints.bug("a consultation failed", e);
                next.fail(Status.INTERNAL.withDescription("a consultation failed"));
            }
        }
    }

    private void decide(Consultation asking) {
        double now = time.now();
        HeaderView head = new HeaderView(asking.head);
        asking.head = null;
        CallReader.Reading reading = reader.read(head, now, endsAt);
        if (reading.request() == null) {
            asking.end(Replies.plain(reading.status(), reading.why()));
            return;
        }
        String id = reading.request().id();
        int attempt = attempt(head.first(ATTEMPT_HEADER));
        if (id.length() > MOST_ID) {
            asking.end(Replies.plain(400, CallReader.ID + " is longer than " + MOST_ID));
        } else if (attempt < 0) {
            asking.end(Replies.plain(400, ATTEMPT_HEADER + " is no whole number"));
        } else {
            RequestClass kind = site.classes().get(reading.request().requestClass());
            switch (known.arrive(now, id, kind, attempt, exchange.has(id))) {
                case FIRST -> {
                    ProxyCall call = new ProxyCall(id, kind, asking);
                    calls.put(id, call);
                    exchange.request(reading.request(), call, call);
                    call.mustHaveAnswered();
                }
                case NEXT -> calls.get(id).next(asking);
                case IN_HAND -> asking.end(Replies.plain(409,
                    CallReader.ID + " is that of a request in hand"));
                case MAY_HAVE_RUN -> asking.end(Replies.plain(500,
                    "it may have run, and may not run again"));
                case FULL -> {
                    complaints.log("no more requests can be remembered", known.size() + " are");
                    asking.end(Replies.refusal(FULL_COOL_DOWN_MS));
                }
                default -> throw new IllegalStateException("no such kind of consultation");
            }
        }
    }

    /** A proxy has left before it was told anything: the attempt that it came for has not run. */
    private void givenUp(HttpHeaders undecided) {
        HeaderView head = new HeaderView(undecided);
        CallReader.Reading reading = reader.read(head, time.now(), endsAt);
        int attempt = attempt(head.first(ATTEMPT_HEADER));
        if (reading.request() != null && attempt >= 0 && reading.request().id().length() <= MOST_ID) {
            known.neverRan(time.now(), reading.request().id(),
                site.classes().get(reading.request().requestClass()), attempt);
        }
    }

    /** The proxy's count of attempts, 0 where it tells none, or -1 for what is no count. */
    private static int attempt(String text) {
        if (text == null || text.isEmpty()) {
            return 0;
        }
        return text.length() <= 6 && text.chars().allMatch(c -> c >= '0' && c <= '9')
            ? Integer.parseInt(text) : -1;
    }

    private enum State {
        /** It has said nothing. */
        SILENT,
        /** Its request's head is here and not looked at yet. */
        WAITS,
        /** It holds a decision to send. */
        DECIDED,
        /** It has had its last message, or has ended by itself. */
        OVER
    }

    /** One stream. */
    private final class Consultation implements StreamObserver<ProcessingRequest> {
        private final ServerCallStreamObserver<ProcessingResponse> out;
        private State state = State.SILENT;
        private HttpHeaders head;
        private ProxyCall call;
        private Time.Timer limit;

        Consultation(ServerCallStreamObserver<ProcessingResponse> out) {
            this.out = out;
            streams++;
            out.setOnCancelHandler(this::broke);
            if (streams > own.mostStreams()) {
                complaints.log("too many consultations", own.mostStreams() + " are open");
                fail(Status.RESOURCE_EXHAUSTED.withDescription("max-streams (" + own.mostStreams()
                    + ") are open"));
            } else {
                limitSilence("nothing was said within silence-ms");
            }
        }

        /** It must go on within the time that a stream may be silent. */
        void limitSilence(String why) {
            stopClock();
            limit = time.after(own.silenceMs(), () -> fail(Status.DEADLINE_EXCEEDED.withDescription(why)));
        }

        private void stopClock() {
            if (limit != null) {
                limit.cancel();
                limit = null;
            }
        }

        @Override
        public void onNext(ProcessingRequest message) {
            if (state == State.OVER) {
                return;
            }
            if (message.getObservabilityMode()) {
                fail(Status.FAILED_PRECONDITION.withDescription(
                    "observability_mode is set: a proxy that does not wait for decisions cannot be served"));
            } else if (message.hasRequestHeaders() && state == State.SILENT) {
                stopClock();
                state = State.WAITS;
                head = message.getRequestHeaders();
                if (inbox.isEmpty()) {
                    soon.execute(Processor.this::decideAll);
                }
                inbox.add(this);
            } else if (message.hasResponseHeaders() && state == State.DECIDED) {
                stopClock();
                call.responded(this, message);
            } else {
                fail(Status.INVALID_ARGUMENT.withDescription(message.getRequestCase() + " is out of order or "
                    + "was not asked for: one request_headers, then one response_headers"));
            }
        }

        @Override
        public void onError(Throwable cause) {
            broke();
        }

        @Override
        public void onCompleted() {
            if (state != State.OVER) {
                broke();
                out.onCompleted();
            }
        }

        /** The stream has ended, or is ended, before its proxy told what came of it. */
        private void broke() {
            if (state == State.OVER) {
                return;
            }
            State last = state;
            HttpHeaders undecided = head;
            close();
            if (last == State.DECIDED) {
                call.lost(this);
            } else if (last == State.WAITS) {
                givenUp(undecided);
            }
        }

        private void close() {
            stopClock();
            state = State.OVER;
            head = null;
            streams--;
        }

        private void fail(Status status) {
            if (state != State.OVER) {
                broke();
                out.onError(status.asRuntimeException());
            }
        }

        /** Writes a decision to send; the proxy is to come back with what came of it. */
        void decided(ProxyCall by, ProcessingResponse decision) {
            call = by;
            state = State.DECIDED;
            out.onNext(decision);
        }

        /** Writes the last message of the stream. */
        void end(ProcessingResponse last) {
            if (state != State.OVER) {
                close();
                out.onNext(last);
                out.onCompleted();
            }
        }
    }

    /** An attempt that the module has decided on. */
    private final class Try implements Carrier.Attempt {
        private final ProxyCall call;
        private final String server;
        private final double sentAt;
        private final double waitMs;
        private final Carrier.Ending ending;
        private boolean handedOut;
        /** Before it none of the request's attempts can have run. */
        private boolean first;

        Try(ProxyCall call, String server, double sentAt, double waitMs, Carrier.Ending ending) {
            this.call = call;
            this.server = server;
            this.sentAt = sentAt;
            this.waitMs = waitMs;
            this.ending = ending;
        }

        /** For how long it will still be waited for. */
        double left(double now) {
            return waitMs - (now - sentAt);
        }

        @Override
        public boolean giveUp() {
            call.givenUp(this);
            return handedOut;
        }
    }

    /** One request, through all of its attempts. */
    private final class ProxyCall implements Carrier, Client {
        private final String id;
        private final RequestClass kind;
        /** Waits for a decision or the final word. */
        private Consultation asking;
        /** Has told what came of its attempt, and waits for what to do with it. */
        private Consultation answering;
        /** Had the latest decision. */
        private Consultation holder;
        /** With a proxy. */
        private Try out;
        /** Decided on, and not with any proxy yet. */
        private Try offer;
        /** For how long an attempt whose stream broke, or that no proxy has come for, is waited for. */
        private Time.Timer wait;
        /** The final word, where it came while no stream waited for it. */
        private ProcessingResponse word;
        private boolean timedOut;
        private boolean over;
        private double mayHaveRunAt = Double.NaN;

        ProxyCall(String id, RequestClass kind, Consultation asking) {
            this.id = id;
            this.kind = kind;
            this.asking = asking;
        }

        // ---- what the host asks for ----

        @Override
        public Attempt send(String server, double waitMs, Ending ending) {
            Try made = new Try(this, server, time.now(), waitMs, ending);
            if (asking != null) {
                handOut(made);
            } else {
                offer = made;
                known.offered(id);
                waitFor(made, () -> {
                    offer = null;
                    made.ending.ended(Outcome.IGNORED, null);
                });
            }
            return made;
        }

        /** Waits for the next consultation, no longer than the attempt: its end would blame the endpoint. */
        private void waitFor(Try attempt, Runnable otherwise) {
            stopWaiting();
            wait = time.after(Math.min(own.nextMs(), attempt.left(time.now()) - 1), () -> {
                wait = null;
                otherwise.run();
            });
        }

        private void stopWaiting() {
            if (wait != null) {
                wait.cancel();
                wait = null;
            }
        }

        /** Gives an attempt to the proxy that asks, unless its endpoint takes nothing new since. */
        private void handOut(Try made) {
            Replies.Destination to = addresses.of(made.server);
            if (to == null) {
                made.ending.ended(Outcome.CONNECT_ERROR, null);
                return;
            }
            double now = time.now();
            Consultation proxy = asking;
            asking = null;
            holder = proxy;
            out = made;
            made.handedOut = true;
            if (Double.isNaN(mayHaveRunAt)) {
                mayHaveRunAt = now;
                made.first = true;
            }
            proxy.decided(this, Replies.send(to, made.left(now)));
        }

        private void givenUp(Try attempt) {
            if (attempt == offer) {
                stopWaiting();
                offer = null;
            } else if (attempt == out) {
                stopWaiting();
                out = null;
                timedOut = true;
                if (holder.state == State.DECIDED) {
                    holder.limitSilence("no response_headers within silence-ms after the attempt's time-out");
                }
            }
        }

        @Override
        public void served(Answer answer) {
            conclude(Replies.PASS);
        }

        @Override
        public void turnedAway(int status) {
            conclude(Replies.PASS);
        }

        @Override
        public void refused(double coolDownMs) {
            conclude(Replies.refusal(coolDownMs));
        }

        @Override
        public void failed() {
            conclude(Replies.plain(timedOut ? 504 : 500, "failed"));
        }

        private void conclude(ProcessingResponse last) {
            end();
            Consultation to = asking != null ? asking : answering;
            asking = null;
            answering = null;
            if (to != null) {
                to.end(last);
            } else {
                word = last;
            }
        }

        /** The request is over. */
        private void end() {
            if (!over) {
                over = true;
                stopWaiting();
                calls.remove(id, this);
                known.ended(time.now(), id, kind, mayHaveRunAt);
            }
        }

        // ---- what the proxies do ----

        /** A proxy comes for the next attempt. */
        void next(Consultation proxy) {
            stopWaiting();
            asking = proxy;
            if (offer != null) {
                Try made = offer;
                offer = null;
                handOut(made);
            } else if (out != null) {
                // What became of it nobody will tell: it may have run, and is no word on its endpoint.
                Try lost = out;
                out = null;
                lost.ending.ended(Outcome.CANCELED, null);
            }
            mustHaveAnswered();
        }

        /** The module answers at once; if it has failed to, the proxy must not be kept waiting. */
        private void mustHaveAnswered() {
            if (asking != null) {
                complaints.log("a consultation without a decision", id);
                Consultation proxy = asking;
                asking = null;
                proxy.end(Replies.plain(500, "failed"));
            }
        }

        /** The proxy tells what came of the attempt that its stream was given. */
        void responded(Consultation proxy, ProcessingRequest message) {
            HeaderView head = new HeaderView(message.getResponseHeaders());
            int status = status(head.first(":status"));
            boolean notRun = "1".equals(head.first("x-not-run"));
            long flags = flags(message, head);
            Outcome outcome = ProxyOutcome.of(status, notRun, flags);
            if (proxy != holder) {
                // Another consultation has taken its place; what it has is not the request's answer any more.
                proxy.end(outcome == Outcome.OK ? Replies.PASS : Replies.plain(500, "failed"));
                return;
            }
            if (out == null) {
                late(proxy, outcome);
                return;
            }
            Try ended = out;
            out = null;
            timedOut = outcome == Outcome.TIMED_OUT;
            if (outcome.neverRan() && ended.first) {
                mayHaveRunAt = Double.NaN;
            }
            answering = proxy;
            ended.ending.ended(outcome, flags != 0 ? null : new Answer(status, notRun, false, null, NO_BODY));
            if (answering != null) {
                answering = null;
                proxy.end(offer != null ? retriable() : Replies.plain(500, "failed"));
            }
        }

        /** The attempt was given up before: what was decided since holds, unless the answer is good. */
        private void late(Consultation proxy, Outcome outcome) {
            if (outcome == Outcome.OK) {
                proxy.end(Replies.PASS);
                if (!over) {
                    exchange.clientGone(id);
                    end();
                }
            } else if (offer != null) {
                proxy.end(retriable());
            } else {
                proxy.end(word != null ? word : Replies.plain(500, "failed"));
            }
        }

        /** The status is the one that is true if the proxy does not come back. */
        private ProcessingResponse retriable() {
            return Replies.retriable(Double.isNaN(mayHaveRunAt) ? 503 : 500);
        }

        /** The stream that held the decision is no more. */
        void lost(Consultation proxy) {
            if (proxy != holder || out == null || over) {
                return;
            }
            Try lost = out;
            known.lost(id);
            waitFor(lost, () -> {
                exchange.clientGone(id);
                end();
                if (out == lost) {
                    out = null;
                    lost.ending.ended(Outcome.CANCELED, null);
                }
            });
        }
    }

    private static int status(String text) {
        return text != null && text.length() == 3 && text.chars().allMatch(c -> c >= '0' && c <= '9')
            ? Integer.parseInt(text) : 0;
    }

    private static long flags(ProcessingRequest message, HeaderView head) {
        Struct attributes = message.getAttributesOrDefault(ATTRIBUTES, Struct.getDefaultInstance());
        Value number = attributes.getFieldsOrDefault(FLAGS_ATTRIBUTE, Value.getDefaultInstance());
        String words = head.first(FLAGS_HEADER);
        return (number.hasNumberValue() ? ProxyOutcome.flags(number.getNumberValue()) : 0)
            | (words == null ? 0 : ProxyOutcome.flags(words));
    }
}
