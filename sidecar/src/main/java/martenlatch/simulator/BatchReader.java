package martenlatch.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import martenlatch.config.JsonValues;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.simulator.Batch.Event;
import martenlatch.simulator.Batch.Part;

/** Reads batches in the simulator's wire format. Unknown fields are skipped. */
final class BatchReader {

    private static final EndpointStatus[] STATUSES = {EndpointStatus.GONE, EndpointStatus.READY, EndpointStatus.DRAINING
    };

    private final JsonParser parser;
    /** The number of the batch being read, for error messages; negative until it is read. */
    private long batchNumber = -1;

    /** The instance whose part is being read, for error messages; null until it is read. */
    private String instance;

    BatchReader(InputStream input) throws IOException {
        parser = JsonFactory.builder()
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                .build()
                .createParser(input);
    }

    /** Returns the number of the current batch; negative if it is not read yet. */
    long batchNumber() {
        return batchNumber;
    }

    /** Returns the instance whose part is being read, or null. */
    String instance() {
        return instance;
    }

    /**
     * Reads a complete batch, so that no event of a malformed batch is handled; returns null at the end of the input.
     */
    Batch read() throws IOException {
        if (parser.nextToken() == null) {
            return null;
        }
        batchNumber = -1;
        instance = null;
        requireToken(JsonToken.START_OBJECT, "a batch");
        double nowMs = Double.NaN;
        List<Part> parts = null;
        while (nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            nextToken();
            switch (name) {
                case "wall-ms" -> nowMs = parser.getDoubleValue();
                case "batch" -> batchNumber = parser.getLongValue();
                case "parts" -> parts = readParts();
                default -> parser.skipChildren();
            }
        }
        instance = null;
        if (Double.isNaN(nowMs) || parts == null || batchNumber < 0) {
            throw new IOException("a batch needs wall-ms, batch and parts");
        }
        return new Batch(batchNumber, nowMs, parts);
    }

    private List<Part> readParts() throws IOException {
        requireToken(JsonToken.START_ARRAY, "parts");
        List<Part> parts = new ArrayList<>();
        while (nextToken() != JsonToken.END_ARRAY) {
            parts.add(readPart());
        }
        return parts;
    }

    private Part readPart() throws IOException {
        requireToken(JsonToken.START_OBJECT, "a part");
        instance = null;
        List<Event> events = List.of();
        while (nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            nextToken();
            switch (name) {
                case "i" -> instance = parser.getText();
                case "in" -> events = readEvents();
                default -> parser.skipChildren();
            }
        }
        if (instance == null) {
            throw new IOException("a part names no instance");
        }
        return new Part(instance, events);
    }

    private List<Event> readEvents() throws IOException {
        requireToken(JsonToken.START_ARRAY, "events");
        List<Event> events = new ArrayList<>();
        while (nextToken() != JsonToken.END_ARRAY) {
            requireToken(JsonToken.START_OBJECT, "an event");
            events.add(readEvent());
        }
        return events;
    }

    private Event readEvent() throws IOException {
        Event event = new Event();
        while (nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            if (nextToken() != JsonToken.VALUE_NULL) {
                readField(event, name);
            }
        }
        return event;
    }

    @SuppressWarnings("unchecked")
    private void readField(Event event, String name) throws IOException {
        switch (name) {
            case "kind" -> event.kind = parser.getText();
            case "msg-id" -> event.requestId = parser.getText();
            case "endpoint" -> event.endpointId = parser.getText();
            case "reason" -> event.outcome = parser.getText();
            case "drop-dead-ms" -> event.deadlineMs = parser.getDoubleValue();
            case "rtt-ms" -> event.durationMs = parser.getDoubleValue();
            case "type" -> event.requestClass = parser.getIntValue();
            case "tenant" -> event.tenant = parser.getIntValue();
            case "hop" -> event.attempt = parser.getIntValue();
            case "mode" -> event.listKind = parser.getIntValue();
            case "ref" -> event.listNumber = parser.getIntValue();
            case "name", "init-seed" -> event.number = parser.getNumberValue().longValue();
            case "resent" -> event.clientRetry = parser.getBooleanValue();
            case "done-flag" -> event.answered = parser.getBooleanValue();
            case "stats" -> event.outstanding = readOutstanding(event.outstanding);
            case "entries" -> event.endpoints = readEndpoints();
            case "params" -> {
                requireToken(JsonToken.START_OBJECT, "params");
                event.settings = (Map<String, Object>) JsonValues.read(parser);
            }
            default -> parser.skipChildren();
        }
    }

    private double readOutstanding(double defaultValue) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return defaultValue;
        }
        double outstanding = defaultValue;
        while (nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            nextToken();
            if (name.equals("outstanding")) {
                outstanding = parser.getDoubleValue();
            } else {
                parser.skipChildren();
            }
        }
        return outstanding;
    }

    private List<Endpoint> readEndpoints() throws IOException {
        requireToken(JsonToken.START_ARRAY, "entries");
        List<Endpoint> endpoints = new ArrayList<>();
        while (nextToken() != JsonToken.END_ARRAY) {
            requireToken(JsonToken.START_OBJECT, "an entry");
            endpoints.add(readEndpoint());
        }
        return endpoints;
    }

    private Endpoint readEndpoint() throws IOException {
        String id = null;
        int zone = 0;
        int machineType = 0;
        int cell = 0;
        double startedMs = 0;
        int status = 0;
        double weight = 1;
        while (nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            if (nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "endpoint" -> id = parser.getText();
                case "hall" -> zone = parser.getIntValue();
                case "sku" -> machineType = parser.getIntValue();
                case "cell" -> cell = parser.getIntValue();
                case "launched-ms" -> startedMs = parser.getDoubleValue();
                case "state" -> status = parser.getIntValue();
                case "share" -> weight = parser.getDoubleValue();
                default -> parser.skipChildren();
            }
        }
        if (status < 0 || status >= STATUSES.length) {
            throw new IOException("unknown state " + status);
        }
        return new Endpoint(id, zone, machineType, cell, startedMs, STATUSES[status], weight);
    }

    private JsonToken nextToken() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            throw new IOException("the input ends within a batch");
        }
        return token;
    }

    private void requireToken(JsonToken expected, String what) throws IOException {
        if (parser.currentToken() != expected) {
            throw new IOException(
                    what + " should begin with " + expected + " but " + parser.currentToken() + " was found");
        }
    }
}
