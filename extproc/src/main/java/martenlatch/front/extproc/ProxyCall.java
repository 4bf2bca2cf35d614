package martenlatch.front.extproc;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointResponse;
import martenlatch.request.ResponseListener;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;

/** One request, through all of its attempts. */
final class ProxyCall implements Transport, ResponseListener {

    /** An attempt that the module has decided on. */
    private static final class Try implements Transport.Attempt {
        private final ProxyCall call;
        private final String server;
        private final WriteConditions conditions;
        private final double notAfter;
        private final Transport.AttemptListener ending;
        private boolean handedOut;
        /** Before it none of the request's attempts can have run. */
        private boolean first;

        Try(
                ProxyCall call,
                String server,
                WriteConditions conditions,
                double notAfter,
                Transport.AttemptListener ending) {
            this.call = call;
            this.server = server;
            this.conditions = conditions;
            this.notAfter = notAfter;
            this.ending = ending;
        }

        /** For how long it will still be waited for. */
        double left() {
            return conditions.remainingMs();
        }

        @Override
        public boolean giveUp() {
            call.givenUp(this);
            return handedOut;
        }

        @Override
        public boolean withdraw() {
            if (handedOut) {
                return false;
            }
            call.givenUp(this);
            return true;
        }
    }

    private static final byte[] NO_BODY = {};

    private final Processor front;
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
    private Scheduler.Timer wait;
    /** The final word, where it came while no stream waited for it. */
    private ProcessingResponse word;

    private boolean timedOut;
    private boolean over;
    private double mayHaveRunAt = Double.NaN;

    ProxyCall(Processor front, String id, RequestClass kind, Consultation asking) {
        this.front = front;
        this.id = id;
        this.kind = kind;
        this.asking = asking;
    }

    // ---- what the host asks for ----

    @Override
    public Attempt send(String server, WriteConditions conditions, double notAfter, AttemptListener ending) {
        Try made = new Try(this, server, conditions, notAfter, ending);
        if (asking != null) {
            handOut(made);
        } else {
            offer = made;
            front.known.offered(id);
            waitFor(made, () -> {
                offer = null;
                made.ending.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
            });
        }
        return made;
    }

    /** Waits for the next consultation, no longer than the attempt: its end would blame the endpoint. */
    private void waitFor(Try attempt, Runnable otherwise) {
        stopWaiting();
        wait = front.time.after(Math.min(front.own.nextMs(), attempt.left() - 1), () -> {
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
        Replies.Destination to = front.addresses.of(made.server);
        if (to == null) {
            made.ending.onAttemptFinished(AttemptOutcome.CONNECT_ERROR, null);
            return;
        }
        double now = front.time.now();
        if (now > made.notAfter) {
            made.ending.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
            return;
        }
        Consultation proxy = asking;
        asking = null;
        holder = proxy;
        out = made;
        made.handedOut = true;
        if (Double.isNaN(mayHaveRunAt)) {
            mayHaveRunAt = now;
            made.first = true;
        }
        proxy.decided(this, to.decision(made.left()));
    }

    private void givenUp(Try attempt) {
        if (attempt == offer) {
            stopWaiting();
            offer = null;
        } else if (attempt == out) {
            stopWaiting();
            out = null;
            timedOut = true;
            if (holder.isDecided()) {
                holder.limitWait();
            }
        }
    }

    @Override
    public void onServed(EndpointResponse answer) {
        conclude(Replies.PASS);
    }

    @Override
    public void onInvalidRequest(int status) {
        conclude(Replies.PASS);
    }

    @Override
    public void onRejected(double coolDownMs) {
        conclude(Replies.refusal(coolDownMs));
    }

    @Override
    public void onFailed() {
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
            front.over(this);
            front.known.ended(front.time.now(), id, kind, mayHaveRunAt);
        }
    }

    String id() {
        return id;
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
            lost.ending.onAttemptFinished(AttemptOutcome.CANCELED, null);
        }
        mustHaveAnswered();
    }

    /** The module answers at once; if it has failed to, the proxy must not be kept waiting. */
    void mustHaveAnswered() {
        if (asking != null) {
            front.complaints.log("a consultation without a decision", id);
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
        AttemptOutcome outcome = ProxyOutcome.of(status, notRun, flags);
        if (proxy != holder) {
            // Another consultation has taken its place; what it has is not the request's answer any more.
            proxy.end(outcome == AttemptOutcome.OK ? Replies.PASS : Replies.plain(500, "failed"));
            return;
        }
        if (out == null) {
            late(proxy, outcome);
            return;
        }
        Try ended = out;
        out = null;
        timedOut = outcome == AttemptOutcome.TIMED_OUT;
        if (outcome.neverExecuted() && ended.first) {
            mayHaveRunAt = Double.NaN;
        }
        answering = proxy;
        ended.ending.onAttemptFinished(
                outcome, flags != 0 ? null : new EndpointResponse(status, notRun, false, null, NO_BODY));
        if (answering != null) {
            answering = null;
            proxy.end(offer != null ? retriable() : Replies.plain(500, "failed"));
        }
    }

    /** The attempt was given up before: what was decided since holds, unless the answer is good. */
    private void late(Consultation proxy, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.OK) {
            proxy.end(Replies.PASS);
            if (!over) {
                front.exchange.onClientDisconnected(id);
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
        front.known.lost(id);
        waitFor(lost, () -> {
            front.exchange.onClientDisconnected(id);
            end();
            if (out == lost) {
                out = null;
                lost.ending.onAttemptFinished(AttemptOutcome.CANCELED, null);
            }
        });
    }

    private static int status(String text) {
        return text != null && text.length() == 3 && text.chars().allMatch(c -> c >= '0' && c <= '9')
                ? Integer.parseInt(text)
                : 0;
    }

    private static long flags(ProcessingRequest message, HeaderView head) {
        Struct attributes = message.getAttributesOrDefault(Processor.ATTRIBUTES, Struct.getDefaultInstance());
        Value number = attributes.getFieldsOrDefault(Processor.FLAGS_ATTRIBUTE, Value.getDefaultInstance());
        String words = head.first(Processor.FLAGS_HEADER);
        return (number.hasNumberValue() ? ProxyOutcome.flags(number.getNumberValue()) : 0)
                | (words == null ? 0 : ProxyOutcome.flags(words));
    }
}
