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

/** Reads batches from the simulator's wire. Unknown fields are skipped. */
final class BatchReader {

    private static final EndpointStatus[] STATUSES = {EndpointStatus.GONE, EndpointStatus.READY, EndpointStatus.DRAINING
    };

    private final JsonParser parser;
    /** Where the parser is, for error messages: below 0 and null where that is not read yet. */
    private long batchNumber = -1;

    private String instance;

    BatchReader(InputStream input) throws IOException {
        parser = JsonFactory.builder()
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                .build()
                .createParser(input);
    }

    /** The number of the batch that was read last, or below 0. */
    long batchNumber() {
        return batchNumber;
    }

    /** The instance whose part is being read, or null. */
    String instance() {
        return instance;
    }

    /** Reads a batch completely, so that a malformed one is not acted on; null at the end of the input. */
    Batch read() throws IOException {
        if (parser.nextToken() == null) {
            return null;
        }
        batchNumber = -1;
        instance = null;
        expect(JsonToken.START_OBJECT, "a batch");
        double nowMs = Double.NaN;
        List<Part> parts = null;
        while (next() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            next();
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
        expect(JsonToken.START_ARRAY, "parts");
        List<Part> parts = new ArrayList<>();
        while (next() != JsonToken.END_ARRAY) {
            parts.add(readPart());
        }
        return parts;
    }

    private Part readPart() throws IOException {
        expect(JsonToken.START_OBJECT, "a part");
        instance = null;
        List<Event> events = List.of();
        while (next() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            next();
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
        expect(JsonToken.START_ARRAY, "events");
        List<Event> events = new ArrayList<>();
        while (next() != JsonToken.END_ARRAY) {
            expect(JsonToken.START_OBJECT, "an event");
            events.add(readEvent());
        }
        return events;
    }

    private Event readEvent() throws IOException {
        Event event = new Event();
        while (next() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            if (next() != JsonToken.VALUE_NULL) {
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
            case "resent" -> event.retried = parser.getBooleanValue();
            case "done-flag" -> event.answered = parser.getBooleanValue();
            case "stats" -> event.outstanding = readOutstanding(event.outstanding);
            case "entries" -> event.endpoints = readEndpoints();
            case "params" -> {
                expect(JsonToken.START_OBJECT, "params");
                event.settings = (Map<String, Object>) JsonValues.read(parser);
            }
            default -> parser.skipChildren();
        }
    }

    private double readOutstanding(double absent) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return absent;
        }
        double outstanding = absent;
        while (next() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            next();
            if (name.equals("outstanding")) {
                outstanding = parser.getDoubleValue();
            } else {
                parser.skipChildren();
            }
        }
        return outstanding;
    }

    private List<Endpoint> readEndpoints() throws IOException {
        expect(JsonToken.START_ARRAY, "entries");
        List<Endpoint> endpoints = new ArrayList<>();
        while (next() != JsonToken.END_ARRAY) {
            expect(JsonToken.START_OBJECT, "an entry");
            endpoints.add(readEndpoint());
        }
        return endpoints;
    }

    private Endpoint readEndpoint() throws IOException {
        String id = null;
        int zone = 0;
        int machineKind = 0;
        int cell = 0;
        double startedMs = 0;
        int status = 0;
        double weight = 1;
        while (next() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            if (next() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "endpoint" -> id = parser.getText();
                case "hall" -> zone = parser.getIntValue();
                case "sku" -> machineKind = parser.getIntValue();
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
        return new Endpoint(id, zone, machineKind, cell, startedMs, STATUSES[status], weight);
    }

    private JsonToken next() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            throw new IOException("the input ends within a batch");
        }
        return token;
    }

    private void expect(JsonToken wanted, String what) throws IOException {
        if (parser.currentToken() != wanted) {
            throw new IOException(
                    what + " should begin with " + wanted + " but " + parser.currentToken() + " was found");
        }
    }
}
