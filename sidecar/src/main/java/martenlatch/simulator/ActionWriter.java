package martenlatch.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import martenlatch.policy.api.BalancerActions;
import martenlatch.policy.api.OverloadReport;

/** Writes the actions of a load balancer to the current reply in the simulator's wire format. */
final class ActionWriter implements BalancerActions {

    /** Whole numbers below this magnitude are exact in a double, and are written without a decimal point. */
    private static final double MAX_EXACT_WHOLE_NUMBER = 1e15;

    /** Writes the fields of one action. */
    private interface FieldWriter {
        void write() throws IOException;
    }

    private final JsonGenerator out;

    ActionWriter(JsonGenerator out) {
        this.out = out;
    }

    private void write(String kind, FieldWriter fields) {
        try {
            out.writeStartObject();
            out.writeStringField("kind", kind);
            fields.write();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void writeNumber(String name, double value) throws IOException {
        out.writeFieldName(name);
        if (value == Math.rint(value) && Math.abs(value) < MAX_EXACT_WHOLE_NUMBER) {
            out.writeNumber((long) value);
        } else {
            out.writeNumber(value);
        }
    }

    @Override
    public void forward(String requestId, String endpointId, double timeoutMs) {
        write("HandOff", () -> {
            out.writeStringField("msg-id", requestId);
            out.writeStringField("endpoint", endpointId);
            writeNumber("give-up-after-ms", timeoutMs);
        });
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {
        write("NotNow", () -> {
            out.writeStringField("msg-id", requestId);
            writeNumber("cool-down-ms", retryAfterMs);
        });
    }

    @Override
    public void fail(String requestId) {
        write("Error", () -> out.writeStringField("msg-id", requestId));
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        write("DropAttempt", () -> {
            out.writeStringField("msg-id", requestId);
            writeNumber("hop", attempt);
        });
    }

    @Override
    public void scheduleTimer(double delayMs, long name) {
        write("NotifyMe", () -> {
            writeNumber("in-ms", delayMs);
            out.writeNumberField("name", name);
        });
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        write("Disconnect", () -> out.writeStringField("endpoint", endpointId));
    }

    @Override
    public void pollEndpointList() {
        write("Observe", () -> out.writeBooleanField("enable", true));
    }

    @Override
    public void report(OverloadReport report) {
        write("Remark", () -> out.writeStringField("line", report.toString()));
    }
}
