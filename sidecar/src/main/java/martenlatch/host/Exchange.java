package martenlatch.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenlatch.policy.LoadBalancer;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.BalancerActions;
import martenlatch.policy.api.BalancerEvents;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.EndpointListKind;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.LoadReport;
import martenlatch.policy.api.OverloadReport;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;

/**
 * The host of the decision module: the table of open requests and their attempts. It carries out what the
 * module asks for, tells it what comes of it, and sees to it that each request gets one final answer.
 */
public final class Exchange implements BalancerActions, ServerList.Listener {

    /** So long after its deadline a request that nothing has concluded fails. */
    private static final double OVERDUE_MS = 5;
    /** The last of the time in which an endpoint drops a repeat belongs to the way there. */
    private static final double WINDOW_SHARE = 0.95;
    /** Where lists are pushed, the agent is asked again after this pause when a call has failed. */
    private static final int AGENT_PAUSE_MS = 100;

    /** What happens to the module, at the time at which it is told. */
    private interface Event {
        void tell(double now);
    }

    private record Queued(Open open, Event event) {}

    private static final class Open {
        final Request request;
        final Carrier carrier;
        final Client client;
        /** As the settings had them when the request came. */
        final RequestClass kind;

        final int mostTries;
        final List<Try> tries = new ArrayList<>(2);
        Time.Timer overdue;
        /** When the client stops waiting; its time does not begin before its last byte has come. */
        double deadlineMs;

        boolean coming;
        final double takenAt;
        boolean concluded;
        /** Attempts whose end the module has not been told yet. */
        int out;

        Open(Request request, double takenAt, BalancerSettings settings, Carrier carrier, Client client) {
            this.request = request;
            this.takenAt = takenAt;
            deadlineMs = request.deadlineMs();
            kind = settings.classes().get(request.classIndex());
            mostTries = settings.limits().maxAttempts();
            this.carrier = carrier;
            this.client = client;
        }

        /**
         * The time after which no attempt more may be sent. The decision is made in time, but a connection
         * that comes up late would carry it out when the endpoints have forgotten the first one.
         */
        double notAfter() {
            for (Try made : tries) {
                if (kind.idempotency() == Idempotency.IDEMPOTENCY_KEY && !made.neverRan) {
                    return made.sentAt + kind.deduplicationWindowMs() * WINDOW_SHARE;
                }
            }
            return Double.POSITIVE_INFINITY;
        }
    }

    /** One attempt of a request. */
    private static final class Try {
        final int number;
        final String server;
        final double waitMs;
        double sentAt;
        Carrier.Attempt attempt;
        Time.Timer timeout;
        boolean ended;
        /** Known not to have run, and not to run any more. */
        boolean neverRan;

        Try(int number, String server, double sentAt, double waitMs) {
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
            this.waitMs = waitMs;
        }
    }

    private final Time time;
    private final Complaints complaints;
    private final EndpointTable endpoints;
    /** Begins a watch on the list of endpoints. */
    private final Runnable watch;

    private BalancerSettings settings;
    private final Witness witness;
    private final BalancerEvents module;
    private final Map<String, Open> table = new HashMap<>();
    /** BalancerEvents wait here while the module is at work: it is never called from within its own call. */
    private final Deque<Queued> events = new ArrayDeque<>();

    private boolean telling;
    private boolean listed;

    /** A host that knows a list, perhaps an old one, and no calls. */
    public Exchange(
            Time time,
            Complaints complaints,
            EndpointTable endpoints,
            Runnable watch,
            BalancerSettings settings,
            long seed,
            ServerList known,
            Witness witness) {
        this.time = time;
        this.complaints = complaints;
        this.endpoints = endpoints;
        this.watch = watch;
        this.settings = settings;
        this.witness = witness;
        module = new LoadBalancer(settings, seed, this);
        tellList(EndpointListKind.CACHED, known);
        if (!settings.pollsEndpointList()) {
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

    /** The settings that hold for requests from here on; their classes are told by their places in it. */
    public void retune(BalancerSettings next) {
        settings = next;
        raise(null, now -> module.onSettingsChanged(now, next));
    }

    /** The operators have taken out these endpoints, and no others. */
    public void disabled(Set<String> servers) {
        raise(null, now -> module.onEndpointsDisabled(now, servers));
    }

    // ---- what happens ----

    public void request(Request request, Carrier carrier, Client client) {
        request(request, carrier, client, false);
    }

    /**
     * As above; {@code coming} if the request's last byte has not come yet. Its deadline is told as if it
     * had, and moves until {@link #hasCome}: before that no time of it has passed, and no attempt is given
     * up.
     */
    public void request(Request request, Carrier carrier, Client client, boolean coming) {
        Open open = new Open(request, time.now(), settings, carrier, client);
        table.put(request.id(), open);
        witness.taken(request);
        open.coming = coming;
        if (!coming) {
            watch(open);
        }
        raise(open, now -> module.onRequest(now, request));
    }

    private void watch(Open open) {
        open.overdue = time.after(open.deadlineMs - time.now() + OVERDUE_MS, () -> overdue(open));
    }

    /** The last byte of a request has come: its time begins, and no deadline is later than {@code latest}. */
    public void hasCome(String id, double latest) {
        Open open = table.get(id);
        if (open == null || !open.coming) {
            return;
        }
        open.coming = false;
        double now = time.now();
        open.deadlineMs = Math.min(latest, open.deadlineMs + now - open.takenAt);
        if (!open.concluded) {
            watch(open);
        }
        for (Try made : open.tries) {
            if (!made.ended) {
                made.sentAt = now;
                made.timeout = time.after(
                        Math.min(made.waitMs, open.deadlineMs - now),
                        () -> giveUp(open, made, AttemptOutcome.TIMED_OUT));
            }
        }
    }

    /**
     * This process ends: every request in hand has its final answer by {@code latest}, however long its
     * client would wait. What is still coming has its deadline cut by {@link #hasCome}.
     */
    public void endBy(double latest) {
        for (Open open : table.values()) {
            if (open.concluded || open.coming || open.deadlineMs <= latest) {
                continue;
            }
            open.deadlineMs = latest;
            open.overdue.cancel();
            watch(open);
            for (Try made : open.tries) {
                if (!made.ended && made.sentAt + made.waitMs > latest) {
                    made.timeout.cancel();
                    made.timeout = time.after(latest - time.now(), () -> giveUp(open, made, AttemptOutcome.TIMED_OUT));
                }
            }
        }
    }

    /** The client's connection has ended before its answer. */
    public void clientGone(String id) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open, Witness.Final.GONE, 0);
            raise(open, now -> module.onClientDisconnected(now, id));
            for (Try made : List.copyOf(open.tries)) {
                if (open.coming) {
                    // What has not come whole never will: no attempt of it can run any more.
                    giveUp(open, made, AttemptOutcome.CANCELED);
                } else if (!made.ended && made.attempt.withdraw()) {
                    // Whether what was sent may be called off is the site's to say; this was not sent.
                    end(open, made, AttemptOutcome.NOT_EXECUTED);
                }
            }
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
        conclude(open, Witness.Final.FAILED, 0);
        open.client.failed();
        raise(open, now -> module.onClientDisconnected(now, open.request.id()));
    }

    @Override
    public void listed(ServerList list) {
        tellList(list.full() ? EndpointListKind.FULL : EndpointListKind.DELTA, list);
    }

    private void tellList(EndpointListKind kind, ServerList list) {
        listed |= !list.entries().isEmpty();
        endpoints.update(list);
        raise(null, now -> module.onEndpointList(now, kind, list.servers()));
        endpoints.withdraw();
    }

    @Override
    public void failed() {
        if (settings.pollsEndpointList()) {
            raise(null, now -> module.onEndpointList(now, EndpointListKind.FAILED, List.of()));
        } else {
            time.after(AGENT_PAUSE_MS, watch);
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
            event.tell(time.now());
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
    public void forward(String id, String server, double timeoutMs) {
        Open open = table.get(id);
        if (open == null) {
            complaints.log("an attempt for a request that is not open", id);
            return;
        }
        double now = time.now();
        double left = open.deadlineMs - (open.coming ? open.takenAt : now);
        double wait = timeoutMs == 0 ? left : Math.min(timeoutMs, left);
        endIfDisconnected(open);
        double notAfter = open.notAfter();
        Try made = new Try(open.tries.size(), server, now, wait);
        open.tries.add(made);
        open.out++;
        witness.sent(id, made.number, server, timeoutMs);
        if (open.concluded || left <= 0 || open.tries.size() > open.mostTries) {
            end(open, made, AttemptOutcome.NOT_EXECUTED);
        } else if (wait <= 0) {
            end(open, made, AttemptOutcome.TIMED_OUT);
        } else {
            if (!open.coming) {
                made.timeout = time.after(wait, () -> giveUp(open, made, AttemptOutcome.TIMED_OUT));
            }
            try {
                made.attempt = open.carrier.send(server, new Written(open, made), notAfter, (outcome, answer) -> {
                    if (answer != null && !open.concluded) {
                        pass(open, outcome, answer);
                    } else if (answer != null && answer.rest() != null) {
                        answer.rest().abandon();
                    }
                    end(open, made, outcome);
                });
            } catch (RuntimeException e) {
                // How far it came is not known, so it may have run; the module must hear of its end.
                complaints.bug("sending failed", e);
                end(open, made, AttemptOutcome.RESET);
            }
        }
    }

    /**
     * The end of a client's connection may have come while the event loop was busy with others. While a request
     * is incomplete its connection is being read, and shows its end by that.
     */
    private void endIfDisconnected(Open open) {
        if (!open.concluded && !open.coming && !open.client.isConnected()) {
            clientGone(open.request.id());
        }
    }

    /** The conditions of one attempt. */
    private final class Written implements Carrier.Conditions {
        private final Open open;
        private final Try made;

        Written(Open open, Try made) {
            this.open = open;
            this.made = made;
        }

        /** No time of an attempt passes while its request is incomplete. */
        @Override
        public double remainingMs() {
            return open.coming ? made.waitMs : Math.min(made.sentAt + made.waitMs, open.deadlineMs) - time.now();
        }

        @Override
        public boolean isClientConnected() {
            endIfDisconnected(open);
            return !open.concluded;
        }
    }

    /** Passes an answer on where it is the last word on its request. */
    private void pass(Open open, AttemptOutcome outcome, Answer answer) {
        if (outcome == AttemptOutcome.OK) {
            conclude(open, Witness.Final.SERVED, 0);
            open.client.served(answer);
        } else if (outcome == AttemptOutcome.NOT_EXECUTED) {
            conclude(open, Witness.Final.TURNED_AWAY, 0);
            open.client.turnedAway(answer.status());
        }
    }

    /** Stops waiting for an attempt. One that was not written whole is known not to have run. */
    private void giveUp(Open open, Try made, AttemptOutcome outcome) {
        if (!made.ended) {
            boolean mayHaveRun = made.attempt.giveUp();
            end(open, made, mayHaveRun || outcome == AttemptOutcome.CANCELED ? outcome : AttemptOutcome.CONNECT_ERROR);
        }
    }

    private void end(Open open, Try made, AttemptOutcome outcome) {
        if (made.ended) {
            return;
        }
        made.ended = true;
        made.neverRan = outcome.neverExecuted();
        if (made.timeout != null) {
            made.timeout.cancel();
        }
        witness.ended(open.request.id(), made.number, outcome);
        double took = open.coming ? 0 : time.now() - made.sentAt;
        raise(open, now -> {
            open.out--;
            module.onAttemptFinished(
                    now,
                    new AttemptResult(
                            open.request.id(),
                            made.number,
                            made.server,
                            outcome,
                            took,
                            open.concluded,
                            LoadReport.NONE));
        });
    }

    private void conclude(Open open, Witness.Final end, double coolDownMs) {
        open.concluded = true;
        if (open.overdue != null) {
            open.overdue.cancel();
        }
        witness.concluded(open.request.id(), end, coolDownMs);
    }

    @Override
    public void reject(String id, double coolDownMs) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open, Witness.Final.REFUSED, coolDownMs);
            open.client.refused(coolDownMs);
        }
    }

    @Override
    public void fail(String id) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open, Witness.Final.FAILED, 0);
            open.client.failed();
        }
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        Open open = table.get(id);
        if (open != null && attempt < open.tries.size()) {
            giveUp(open, open.tries.get(attempt), AttemptOutcome.CANCELED);
        }
    }

    @Override
    public void scheduleTimer(double inMs, long name) {
        time.after(inMs, () -> raise(null, now -> module.onTimer(now, name)));
    }

    @Override
    public void closeIdleConnections(String server) {
        endpoints.closeIdleConnections(server);
    }

    @Override
    public void pollEndpointList() {
        watch.run();
    }

    @Override
    public void report(OverloadReport report) {
        complaints.say(report.toString());
    }
}
