package martenlatch.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenlatch.config.SettingsReader;
import martenlatch.policy.LoadBalancer;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.AttemptResult;
import martenlatch.policy.api.BalancerActions;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointListKind;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.LoadReport;
import martenlatch.policy.api.OverloadReport;
import martenlatch.policy.api.Request;

/**
 * Speaks the simulator's wire: reads batches of events, hands each to the balancer of its instance, and
 * writes one reply a batch. Every decision is the balancers' own.
 */
public final class SimulatorAdapter {

    private static final EndpointListKind[] LIST_KINDS = {
        EndpointListKind.CACHED, EndpointListKind.FULL, EndpointListKind.DELTA, EndpointListKind.FAILED
    };
    private static final EndpointStatus[] STATES = {EndpointStatus.GONE, EndpointStatus.READY, EndpointStatus.DRAINING};
    private static final int LISTS = 16;

    private final JsonParser in;
    private final OutputStream replies;
    /** The reply in the making: sent whole, so that nothing of a bad batch is acted on. */
    private final ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 16);

    private final JsonGenerator out;
    private final PrintStream complaints;
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<Endpoint>> lists = new ArrayList<>();
    private final Set<String> unknownKinds = new HashSet<>();
    private long batch = -1;
    private String current = null;

    /** An adapter that reads {@code input} and writes {@code output}; warnings go to {@code errors}. */
    public SimulatorAdapter(InputStream input, OutputStream output, PrintStream errors) throws IOException {
        JsonFactory factory = JsonFactory.builder()
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                .build();
        in = factory.createParser(input);
        replies = output;
        out = factory.createGenerator(reply).setRootValueSeparator(null);
        complaints = errors;
        for (int i = 0; i < LISTS; i++) {
            lists.add(List.of());
        }
    }

    /** Answers batches until the input ends. */
    public void run() throws IOException {
        try {
            while (in.nextToken() != null) {
                answer();
            }
        } catch (IOException | RuntimeException e) {
            if (e instanceof WireException) {
                throw e;
            }
            throw new WireException(
                    "batch " + (batch < 0 ? "(number unread)" : String.valueOf(batch))
                            + (current == null ? "" : ", instance " + current) + ": " + plain(e),
                    e);
        }
    }

    /** A message on one line; a parser's second line only tells where in the input it stood. */
    private static String plain(Exception e) {
        String message = e.getMessage() == null ? e.toString() : e.getMessage();
        return message.lines().findFirst().orElse("");
    }

    /** One instance's part of a batch, as read. */
    private record Part(String instance, List<Event> events) {}

    /** One event with whichever fields it had. */
    private static final class Event {
        String kind = "";
        String id = "";
        String endpoint = "";
        String reason = "";
        double deadline;
        double took;
        int type;
        int tenant;
        int hop;
        int mode;
        int ref;
        long number;
        boolean resent;
        boolean done;
        double outstanding = -1;
        List<Endpoint> entries = List.of();
        Map<String, Object> params = Map.of();
    }

    /** An instance: its balancer, and where its actions go while its part is answered. */
    private final class Instance implements BalancerActions {
        LoadBalancer balancer;

        private void begin(String kind) {
            try {
                out.writeStartObject();
                out.writeStringField("kind", kind);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        private void end() {
            try {
                out.writeEndObject();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        private void field(String name, String value) {
            try {
                out.writeStringField(name, value);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        private void field(String name, double value) {
            try {
                out.writeFieldName(name);
                if (value == Math.rint(value) && Math.abs(value) < 1e15) {
                    out.writeNumber((long) value);
                } else {
                    out.writeNumber(value);
                }
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        @Override
        public void forward(String request, String server, double timeoutMs) {
            begin("HandOff");
            field("msg-id", request);
            field("endpoint", server);
            field("give-up-after-ms", timeoutMs);
            end();
        }

        @Override
        public void reject(String request, double coolDownMs) {
            begin("NotNow");
            field("msg-id", request);
            field("cool-down-ms", coolDownMs);
            end();
        }

        @Override
        public void fail(String request) {
            begin("Error");
            field("msg-id", request);
            end();
        }

        @Override
        public void cancelAttempt(String request, int attempt) {
            begin("DropAttempt");
            field("msg-id", request);
            field("hop", attempt);
            end();
        }

        @Override
        public void scheduleTimer(double inMs, long name) {
            begin("NotifyMe");
            field("in-ms", inMs);
            field("name", name);
            end();
        }

        @Override
        public void closeIdleConnections(String server) {
            begin("Disconnect");
            field("endpoint", server);
            end();
        }

        @Override
        public void pollEndpointList() {
            begin("Observe");
            try {
                out.writeBooleanField("enable", true);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            end();
        }

        @Override
        public void report(OverloadReport report) {
            begin("Remark");
            field("line", report.toString());
            end();
        }
    }

    /** Reads one batch whole, so that a malformed one is not acted on, then walks its events in order. */
    private void answer() throws IOException {
        batch = -1;
        current = null;
        expect(in.currentToken(), JsonToken.START_OBJECT, "a batch");
        double now = Double.NaN;
        List<Part> parts = null;
        while (next() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            next();
            switch (name) {
                case "wall-ms" -> now = in.getDoubleValue();
                case "batch" -> batch = in.getLongValue();
                case "parts" -> parts = readParts();
                default -> in.skipChildren();
            }
        }
        current = null;
        if (Double.isNaN(now) || parts == null || batch < 0) {
            throw new IOException("a batch needs wall-ms, batch and parts");
        }
        out.writeStartObject();
        out.writeNumberField("batch", batch);
        out.writeArrayFieldStart("parts");
        for (Part part : parts) {
            current = part.instance();
            out.writeStartObject();
            out.writeStringField("i", current);
            out.writeArrayFieldStart("out");
            for (Event event : part.events()) {
                dispatch(now, event);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.flush();
        reply.writeTo(replies);
        replies.flush();
        reply.reset();
    }

    private List<Part> readParts() throws IOException {
        expect(in.currentToken(), JsonToken.START_ARRAY, "parts");
        List<Part> parts = new ArrayList<>();
        while (next() != JsonToken.END_ARRAY) {
            expect(in.currentToken(), JsonToken.START_OBJECT, "a part");
            String instance = null;
            List<Event> events = List.of();
            current = null;
            while (next() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                next();
                if (name.equals("i")) {
                    instance = in.getText();
                    current = instance;
                } else if (name.equals("in")) {
                    events = readEvents();
                } else {
                    in.skipChildren();
                }
            }
            if (instance == null) {
                throw new IOException("a part names no instance");
            }
            parts.add(new Part(instance, events));
        }
        return parts;
    }

    private List<Event> readEvents() throws IOException {
        expect(in.currentToken(), JsonToken.START_ARRAY, "events");
        List<Event> events = new ArrayList<>();
        while (next() != JsonToken.END_ARRAY) {
            expect(in.currentToken(), JsonToken.START_OBJECT, "an event");
            events.add(readEvent());
        }
        return events;
    }

    @SuppressWarnings("unchecked")
    private Event readEvent() throws IOException {
        Event e = new Event();
        while (next() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            if (next() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "kind" -> e.kind = in.getText();
                case "msg-id" -> e.id = in.getText();
                case "endpoint" -> e.endpoint = in.getText();
                case "reason" -> e.reason = in.getText();
                case "drop-dead-ms" -> e.deadline = in.getDoubleValue();
                case "rtt-ms" -> e.took = in.getDoubleValue();
                case "type" -> e.type = in.getIntValue();
                case "tenant" -> e.tenant = in.getIntValue();
                case "hop" -> e.hop = in.getIntValue();
                case "mode" -> e.mode = in.getIntValue();
                case "ref" -> e.ref = in.getIntValue();
                case "name", "init-seed" -> e.number = in.getNumberValue().longValue();
                case "resent" -> e.resent = in.getBooleanValue();
                case "done-flag" -> e.done = in.getBooleanValue();
                case "stats" -> readLoad(e);
                case "entries" -> e.entries = readEntries();
                case "params" -> {
                    expect(in.currentToken(), JsonToken.START_OBJECT, "params");
                    e.params = (Map<String, Object>) SettingsReader.value(in);
                }
                default -> in.skipChildren();
            }
        }
        return e;
    }

    private void readLoad(Event e) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            return;
        }
        while (next() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            next();
            switch (name) {
                case "outstanding" -> e.outstanding = in.getDoubleValue();
                default -> in.skipChildren();
            }
        }
    }

    private List<Endpoint> readEntries() throws IOException {
        expect(in.currentToken(), JsonToken.START_ARRAY, "entries");
        List<Endpoint> entries = new ArrayList<>();
        while (next() != JsonToken.END_ARRAY) {
            expect(in.currentToken(), JsonToken.START_OBJECT, "an entry");
            String id = null;
            int zone = 0;
            int kind = 0;
            int cell = 0;
            double started = 0;
            int state = 0;
            double weight = 1;
            while (next() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                if (next() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "endpoint" -> id = in.getText();
                    case "hall" -> zone = in.getIntValue();
                    case "sku" -> kind = in.getIntValue();
                    case "cell" -> cell = in.getIntValue();
                    case "launched-ms" -> started = in.getDoubleValue();
                    case "state" -> state = in.getIntValue();
                    case "share" -> weight = in.getDoubleValue();
                    default -> in.skipChildren();
                }
            }
            entries.add(new Endpoint(id, zone, kind, cell, started, pick(STATES, state, "state"), weight));
        }
        return entries;
    }

    /** Hands one event to the balancer it is for. */
    private void dispatch(double now, Event e) throws IOException {
        switch (e.kind) {
            case "Inventory" -> lists.set(checkRef(e.ref), e.entries);
            case "Spawn" -> {
                Instance fresh = new Instance();
                fresh.balancer = new LoadBalancer(SettingsReader.settings(e.params), e.number, fresh);
                instances.put(current, fresh);
            }
            case "Stop" -> {
                running();
                instances.remove(current);
            }
            case "Endpoints" -> {
                EndpointListKind kind = pick(LIST_KINDS, e.mode, "mode");
                running()
                        .onEndpointList(
                                now, kind, kind == EndpointListKind.FAILED ? List.of() : lists.get(checkRef(e.ref)));
            }
            case "Query" -> running().onRequest(now, new Request(e.id, e.type, e.tenant, e.deadline, e.resent));
            case "Accepted" -> running().onStreamStarted(now, e.id, e.hop);
            case "Finished" ->
                running()
                        .onAttemptFinished(
                                now,
                                new AttemptResult(e.id, e.hop, e.endpoint, outcome(e.reason), e.took, e.done, load(e)));
            case "CancelledByClient" -> running().onClientDisconnected(now, e.id);
            case "Fired" -> running().onTimer(now, e.number);
            case "PingResult", "NeighbourSays" -> running();
            default -> {
                if (unknownKinds.add(e.kind)) {
                    complaints.println("martenlatch: batch " + batch + ", instance " + current + ": events of kind '"
                            + e.kind + "' are unknown and skipped");
                }
            }
        }
    }

    private static LoadReport load(Event e) {
        return e.outstanding < 0 ? LoadReport.NONE : new LoadReport(e.outstanding);
    }

    private LoadBalancer running() throws IOException {
        Instance instance = instances.get(current);
        if (instance == null) {
            throw new IOException("an event for an instance that was never started");
        }
        return instance.balancer;
    }

    private static int checkRef(int ref) throws IOException {
        if (ref < 0 || ref >= LISTS) {
            throw new IOException("list number " + ref + " is out of range");
        }
        return ref;
    }

    private static <T> T pick(T[] from, int number, String what) throws IOException {
        if (number < 0 || number >= from.length) {
            throw new IOException("unknown " + what + " " + number);
        }
        return from[number];
    }

    private static AttemptOutcome outcome(String word) throws IOException {
        return switch (word) {
            case "Ok" -> AttemptOutcome.OK;
            case "Failed" -> AttemptOutcome.FAILED;
            case "QueueFull" -> AttemptOutcome.REJECTED_QUEUE_FULL;
            case "TimedOut" -> AttemptOutcome.TIMED_OUT;
            case "ConnectError" -> AttemptOutcome.CONNECT_ERROR;
            case "ResetByPeer" -> AttemptOutcome.RESET;
            case "Canceled" -> AttemptOutcome.CANCELED;
            case "Ignored" -> AttemptOutcome.NOT_EXECUTED;
            default -> throw new IOException("unknown outcome '" + word + "'");
        };
    }

    private JsonToken next() throws IOException {
        JsonToken token = in.nextToken();
        if (token == null) {
            throw new IOException("the input ends within a batch");
        }
        return token;
    }

    private static void expect(JsonToken found, JsonToken wanted, String what) throws IOException {
        if (found != wanted) {
            throw new IOException(what + " should begin with " + wanted + " but " + found + " was found");
        }
    }
}
