package martenlatch.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
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
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointListKind;
import martenlatch.policy.api.LoadReport;
import martenlatch.policy.api.Request;
import martenlatch.simulator.Batch.Event;
import martenlatch.simulator.Batch.Part;

/**
 * Runs load balancers for the simulator: reads batches of events, passes each event to the balancer of its instance,
 * and writes one reply for each batch. The adapter makes no decisions of its own.
 */
public final class SimulatorAdapter {

    private static final EndpointListKind[] LIST_KINDS = {
        EndpointListKind.CACHED, EndpointListKind.FULL, EndpointListKind.DELTA, EndpointListKind.FAILED
    };
    private static final int MAX_LISTS = 16;
    private static final int INITIAL_REPLY_BYTES = 1 << 16;

    private final BatchReader reader;
    private final OutputStream output;
    /** The reply to the current batch; it is sent as a whole, so that a malformed batch produces no actions. */
    private final ByteArrayOutputStream reply = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);

    private final JsonGenerator generator;
    private final ActionWriter actions;
    private final PrintStream errors;
    private final Map<String, LoadBalancer> balancers = new HashMap<>();
    /** The endpoint lists that events refer to by index. */
    private final List<List<Endpoint>> lists = new ArrayList<>();

    private final Set<String> reportedUnknownKinds = new HashSet<>();
    /** The instance whose events are being handled, for error messages; null between parts. */
    private String instance;

    /** Creates an adapter that reads {@code input}, replies to {@code output} and prints warnings to {@code errors}. */
    public SimulatorAdapter(InputStream input, OutputStream output, PrintStream errors) throws IOException {
        reader = new BatchReader(input);
        this.output = output;
        this.errors = errors;
        generator = new JsonFactory().createGenerator(reply).setRootValueSeparator(null);
        actions = new ActionWriter(generator);
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(List.of());
        }
    }

    /**
     * Reads and replies to batches until the input ends.
     *
     * @throws SimulatorWireException if a batch is malformed or cannot be handled
     */
    public void run() throws IOException {
        try {
            for (Batch batch = reader.read(); batch != null; batch = reader.read()) {
                replyTo(batch);
            }
        } catch (SimulatorWireException e) {
            throw e;
        } catch (IOException | RuntimeException e) {
            throw new SimulatorWireException(position() + ": " + firstLine(e), e);
        }
    }

    /** Returns the batch and instance at which an error occurred. */
    private String position() {
        String batch = reader.batchNumber() < 0 ? "(number unread)" : String.valueOf(reader.batchNumber());
        String currentInstance = instance != null ? instance : reader.instance();
        return "batch " + batch + (currentInstance == null ? "" : ", instance " + currentInstance);
    }

    /** Returns the first line of a message; the second line of a parser's message is only the position in the input. */
    private static String firstLine(Exception e) {
        String message = e.getMessage() == null ? e.toString() : e.getMessage();
        return message.lines().findFirst().orElse("");
    }

    private void replyTo(Batch batch) throws IOException {
        generator.writeStartObject();
        generator.writeNumberField("batch", batch.number());
        generator.writeArrayFieldStart("parts");
        for (Part part : batch.parts()) {
            replyTo(batch, part);
        }
        generator.writeEndArray();
        generator.writeEndObject();
        generator.writeRaw('\n');
        generator.flush();
        reply.writeTo(output);
        output.flush();
        reply.reset();
    }

    private void replyTo(Batch batch, Part part) throws IOException {
        instance = part.instance();
        generator.writeStartObject();
        generator.writeStringField("i", instance);
        generator.writeArrayFieldStart("out");
        for (Event event : part.events()) {
            dispatch(batch, event);
        }
        generator.writeEndArray();
        generator.writeEndObject();
        instance = null;
    }

    /** Passes an event to the balancer of the current instance. */
    private void dispatch(Batch batch, Event event) throws IOException {
        double nowMs = batch.nowMs();
        switch (event.kind) {
            case "Inventory" -> lists.set(requireListNumber(event.listNumber), event.endpoints);
            case "Spawn" ->
                balancers.put(instance, new LoadBalancer(SettingsReader.read(event.settings), event.number, actions));
            case "Stop" -> {
                balancer();
                balancers.remove(instance);
            }
            case "Endpoints" -> onEndpointList(nowMs, event);
            case "Query" ->
                balancer()
                        .onRequest(
                                nowMs,
                                new Request(
                                        event.requestId,
                                        event.requestClass,
                                        event.tenant,
                                        event.deadlineMs,
                                        event.clientRetry));
            case "Accepted" -> balancer().onStreamStarted(nowMs, event.requestId, event.attempt);
            case "Finished" -> balancer().onAttemptFinished(nowMs, attemptResult(event));
            case "CancelledByClient" -> balancer().onClientDisconnected(nowMs, event.requestId);
            case "Fired" -> balancer().onTimer(nowMs, event.number);
            case "PingResult", "NeighbourSays" -> balancer();
            default -> warnOnceOfUnknownKind(batch, event.kind);
        }
    }

    private void onEndpointList(double nowMs, Event event) throws IOException {
        if (event.listKind < 0 || event.listKind >= LIST_KINDS.length) {
            throw new IOException("unknown mode " + event.listKind);
        }
        EndpointListKind kind = LIST_KINDS[event.listKind];
        LoadBalancer balancer = balancer();
        boolean failed = kind == EndpointListKind.FAILED;
        balancer.onEndpointList(nowMs, kind, failed ? List.of() : lists.get(requireListNumber(event.listNumber)));
    }

    private static AttemptResult attemptResult(Event event) throws IOException {
        return new AttemptResult(
                event.requestId,
                event.attempt,
                event.endpointId,
                outcome(event.outcome),
                event.durationMs,
                event.answered,
                event.outstanding < 0 ? LoadReport.NONE : new LoadReport(event.outstanding));
    }

    private void warnOnceOfUnknownKind(Batch batch, String kind) {
        if (reportedUnknownKinds.add(kind)) {
            errors.println("martenlatch: batch " + batch.number() + ", instance " + instance + ": events of kind '"
                    + kind + "' are unknown and skipped");
        }
    }

    private LoadBalancer balancer() throws IOException {
        LoadBalancer balancer = balancers.get(instance);
        if (balancer == null) {
            throw new IOException("an event for an instance that was never started");
        }
        return balancer;
    }

    private static int requireListNumber(int number) throws IOException {
        if (number < 0 || number >= MAX_LISTS) {
            throw new IOException("list number " + number + " is out of range");
        }
        return number;
    }

    private static AttemptOutcome outcome(String reason) throws IOException {
        return switch (reason) {
            case "Ok" -> AttemptOutcome.OK;
            case "Failed" -> AttemptOutcome.FAILED;
            case "QueueFull" -> AttemptOutcome.REJECTED_QUEUE_FULL;
            case "TimedOut" -> AttemptOutcome.TIMED_OUT;
            case "ConnectError" -> AttemptOutcome.CONNECT_ERROR;
            case "ResetByPeer" -> AttemptOutcome.RESET;
            case "Canceled" -> AttemptOutcome.CANCELED;
            case "Ignored" -> AttemptOutcome.NOT_EXECUTED;
            default -> throw new IOException("unknown outcome '" + reason + "'");
        };
    }
}
