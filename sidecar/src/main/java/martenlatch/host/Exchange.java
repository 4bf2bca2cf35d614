package martenlatch.host;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import martenlatch.front.http.Frontend;
import martenlatch.membership.DiscoveryClient;
import martenlatch.policy.Contract.Actions;
import martenlatch.policy.Contract.Events;
import martenlatch.policy.Contract.Finished;
import martenlatch.policy.Contract.ListKind;
import martenlatch.policy.Contract.Load;
import martenlatch.policy.Contract.Outcome;
import martenlatch.policy.Contract.Request;
import martenlatch.policy.Contract.Settings;
import martenlatch.policy.Decide;
import martenlatch.sidecar.SidecarConfig;
import martenlatch.upstream.AnswerReader;
import martenlatch.upstream.EndpointPool;

/**
 * The host of the decision module: the table of open requests and their attempts. It carries out what the
 * module asks for, tells it what comes of it, and sees to it that each request gets one final answer.
 */
public final class Exchange implements Actions, DiscoveryClient.Listener {

    /** So long after its deadline a request that nothing has concluded fails. */
    private static final double OVERDUE_MS = 5;
    /** Where lists are pushed, the agent is asked again after this pause when a call has failed. */
    private static final int AGENT_PAUSE_MS = 100;

    /** What a client sent, beyond what the module decides by. */
    public record Message(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
    }

    /** Where the final answer to a request goes; exactly one of these is called, once. */
    public interface Client {
        void served(AnswerReader.Answer answer);

        /** An endpoint has turned the request away for what it is; no other would take it. */
        void turnedAway(int status);

        void refused(double coolDownMs);

        void failed();
    }

    /** What happens to the module, at the time at which it is told. */
    private interface Event {
        void tell(double now);
    }

    private record Queued(Open open, Event event) {
    }

    private static final class Open {
        final Request request;
        final Message message;
        final Client client;
        final List<Try> tries = new ArrayList<>(2);
        Future<?> overdue;
        boolean concluded;
        /** Attempts whose end the module has not been told yet. */
        int out;

        Open(Request request, Message message, Client client) {
            this.request = request;
            this.message = message;
            this.client = client;
        }
    }

    /** One attempt of a request. */
    private static final class Try {
        final int number;
        final String server;
        final double sentAt;
        EndpointPool.Attempt attempt;
        Future<?> timeout;
        boolean ended;

        Try(int number, String server, double sentAt) {
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final Complaints complaints;
    private final EndpointPool endpoints;
    /** Begins a watch on discovery. */
    private final Runnable watch;
    private final Settings settings;
    private final Events module;
    private final Map<String, Open> table = new HashMap<>();
    /** Events wait here while the module is at work: it is never called from within its own call. */
    private final Deque<Queued> events = new ArrayDeque<>();
    private boolean telling;
    private boolean listed;

    public Exchange(EventLoop loop, Clock clock, Complaints complaints, EndpointPool endpoints,
            Runnable watch, SidecarConfig config) {
        this.loop = loop;
        this.clock = clock;
        this.complaints = complaints;
        this.endpoints = endpoints;
        this.watch = watch;
        settings = config.settings();
        module = new Decide(settings, config.seed(), this);
        tellList(ListKind.CACHED, config.known());
        if (!settings.asksForList()) {
            watch.run();
        }
    }

    /** Whether a list has named an endpoint yet. */
    public boolean knowsEndpoints() {
        return listed;
    }

    public int openRequests() {
        return table.size();
    }

    public boolean has(String id) {
        return table.containsKey(id);
    }

    // ---- what happens ----

    public void request(Request request, Message message, Client client) {
        Open open = new Open(request, message, client);
        table.put(request.id(), open);
        open.overdue = after(request.deadlineMs() - clock.now() + OVERDUE_MS, () -> overdue(open));
        raise(open, now -> module.onRequest(now, request));
    }

    /** The client's connection has ended before its answer. */
    public void clientGone(String id) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open);
            raise(open, now -> module.onClientGone(now, id));
        }
    }

    private void overdue(Open open) {
        if (!open.concluded) {
            complaints.log("no decision by the deadline", open.request.id());
            abandon(open);
        }
    }

    /** Fails a request without the module, and lets the module know that it owes nothing any more. */
    private void abandon(Open open) {
        conclude(open);
        open.client.failed();
        raise(open, now -> module.onClientGone(now, open.request.id()));
    }

    @Override
    public void listed(ServerList list) {
        tellList(list.full() ? ListKind.FULL : ListKind.DELTA, list);
    }

    private void tellList(ListKind kind, ServerList list) {
        listed |= !list.entries().isEmpty();
        endpoints.update(list);
        raise(null, now -> module.onServers(now, kind, list.servers()));
    }

    @Override
    public void failed() {
        if (settings.asksForList()) {
            raise(null, now -> module.onServers(now, ListKind.FAILED, List.of()));
        } else {
            after(AGENT_PAUSE_MS, watch);
        }
    }

    private void raise(Open open, Event event) {
        events.add(new Queued(open, event));
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Queued next = events.poll(); next != null; next = events.poll()) {
                tell(next.open(), next.event());
            }
        } finally {
            telling = false;
        }
    }

    private void tell(Open open, Event event) {
        try {
            event.tell(clock.now());
        } catch (RuntimeException e) {
            complaints.bug("the decision module failed", e);
            if (open != null && !open.concluded && open.out == 0) {
                abandon(open);
            }
        }
        if (open != null && open.concluded && open.out == 0) {
            table.remove(open.request.id());
        }
    }

    // ---- what the module has done ----

    @Override
    public void send(String id, String server, double timeoutMs) {
        Open open = table.get(id);
        if (open == null) {
            complaints.log("an attempt for a request that is not open", id);
            return;
        }
        double now = clock.now();
        Try made = new Try(open.tries.size(), server, now);
        open.tries.add(made);
        open.out++;
        double left = open.request.deadlineMs() - now;
        double wait = timeoutMs == 0 ? left : Math.min(timeoutMs, left);
        if (open.concluded || left <= 0 || open.tries.size() > settings.limits().tries()) {
            end(open, made, Outcome.IGNORED);
        } else if (wait <= 0) {
            end(open, made, Outcome.TIMED_OUT);
        } else {
            made.timeout = after(wait, () -> giveUp(open, made, Outcome.TIMED_OUT));
            try {
                made.attempt = endpoints.send(server, message(open.message, wait), (outcome, answer) -> {
                    if (answer != null && !open.concluded) {
                        pass(open, outcome, answer);
                    }
                    end(open, made, outcome);
                });
            } catch (RuntimeException e) {
                // How far it came is not known, so it may have run; the module must hear of its end.
                complaints.bug("sending failed", e);
                end(open, made, Outcome.RESET);
            }
        }
    }

    /** Passes an answer on where it is the last word on its request. */
    private void pass(Open open, Outcome outcome, AnswerReader.Answer answer) {
        if (outcome == Outcome.OK) {
            conclude(open);
            open.client.served(answer);
        } else if (outcome == Outcome.IGNORED) {
            conclude(open);
            open.client.turnedAway(answer.status());
        }
    }

    private static FullHttpRequest message(Message from, double waitMs) {
        HttpHeaders headers = from.headers().copy();
        headers.set(Frontend.DEADLINE, (long) Math.ceil(waitMs));
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(),
            Unpooled.wrappedBuffer(from.body()), headers, EmptyHttpHeaders.INSTANCE);
    }

    /** Stops waiting for an attempt. One that was not written whole is known not to have run. */
    private void giveUp(Open open, Try made, Outcome outcome) {
        if (!made.ended) {
            boolean mayHaveRun = made.attempt.giveUp();
            end(open, made, mayHaveRun || outcome == Outcome.CANCELED ? outcome : Outcome.CONNECT_ERROR);
        }
    }

    private void end(Open open, Try made, Outcome outcome) {
        if (made.ended) {
            return;
        }
        made.ended = true;
        if (made.timeout != null) {
            made.timeout.cancel(false);
        }
        double took = clock.now() - made.sentAt;
        raise(open, now -> {
            open.out--;
            module.onFinished(now, new Finished(open.request.id(), made.number, made.server, outcome, took,
                open.concluded, Load.NONE));
        });
    }

    private void conclude(Open open) {
        open.concluded = true;
        open.overdue.cancel(false);
    }

    @Override
    public void refuse(String id, double coolDownMs) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open);
            open.client.refused(coolDownMs);
        }
    }

    @Override
    public void fail(String id) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open);
            open.client.failed();
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        Open open = table.get(id);
        if (open != null && attempt < open.tries.size()) {
            giveUp(open, open.tries.get(attempt), Outcome.CANCELED);
        }
    }

    @Override
    public void timer(double inMs, long name) {
        after(inMs, () -> raise(null, now -> module.onTimer(now, name)));
    }

    @Override
    public void disconnect(String server) {
        endpoints.disconnect(server);
    }

    @Override
    public void subscribe() {
        watch.run();
    }

    @Override
    public void log(String line) {
        complaints.say(line);
    }

    private Future<?> after(double ms, Runnable task) {
        return loop.schedule(task, (long) (Math.max(0, ms) * 1e6), TimeUnit.NANOSECONDS);
    }
}
