package martenlatch.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import martenlatch.cli.Main;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the adapter on literal lines of the simulator's wire format. */
class SimulatorAdapterTest {

    private static final String PARAMS = """
        {"azs":["a"],"classes":[
        {"effect":"repeatable","group":"all","hard-limit-ms":3000,"late-worth":0.5,"name":"get","slo-ms":1000,
        "worth":1,"novel":[1,{"x":2}]},
        {"effect":"once","group":"all","hard-limit-ms":3000,"late-worth":0.5,"name":"put","slo-ms":1000,
        "worth":1}],
        "limits":{"cancel":true,"dial-timeout-ms":200,"max-retry-after-ms":2000,"parallel-tries":true,
        "retry-after":true,"try-limit":3,"probes":true},
        "load-info":{"columns":["outstanding"],"how":"silent"},"membership-mode":"pushed",
        "projects":[{"allowance-per-s":100,"name":"t","share":1}],"replicas-of-me":1,
        "rules":{"cold-ms":8000,"cold-share":0.3,"drain-grace-ms":1000,"fall-ms":1000,"tip-multiple":3},
        "slot-no":0,"tier":0,"zone":0,"novelty":true}""".replace("\n", "");
    private static final String SPAWN =
            "{\"kind\":\"Spawn\",\"init-seed\":9223372036854775807,\"params\":" + PARAMS + "}";
    private static final String LIST = "{\"kind\":\"Inventory\",\"ref\":0,\"entries\":["
            + "{\"endpoint\":\"e1\",\"state\":1,\"share\":1}]},"
            + "{\"kind\":\"Endpoints\",\"mode\":0,\"rev\":1,\"ref\":0}";
    private static final String QUERY = "{\"kind\":\"Query\",\"msg-id\":\"q1\",\"drop-dead-ms\":5000," + "\"type\":0}";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private int batches;

    @BeforeEach
    void reset() {
        batches = 0;
    }

    private String batch(String... events) {
        return "{\"wall-ms\":" + (4000 + 5 * batches) + ",\"batch\":" + batches++ + ",\"parts\":["
                + "{\"i\":\"sidecar/0\",\"in\":[" + String.join(",", events) + "]}]}\n";
    }

    private int run(String... lines) throws IOException {
        return Main.run(
                new String[] {"benchlink"},
                new ByteArrayInputStream(String.join("", lines).getBytes(StandardCharsets.UTF_8)),
                out,
                new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    private List<String> replies() {
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals(0, run("{\"wall-ms\":8412.25,\"batch\":1,\"parts\":[]}\n"));
        assertEquals(List.of("{\"batch\":1,\"parts\":[]}"), replies());
    }

    @Test
    void requestIsForwardedToAnEndpoint() throws IOException {
        assertEquals(0, run(batch(SPAWN, LIST), batch(QUERY)));
        assertEquals(
                "{\"batch\":1,\"parts\":[{\"i\":\"sidecar/0\",\"out\":[{\"kind\":\"HandOff\","
                        + "\"msg-id\":\"q1\",\"endpoint\":\"e1\",\"give-up-after-ms\":995}]}]}",
                replies().get(1).replaceAll("give-up-after-ms\":[0-9.]+", "give-up-after-ms\":995"));
    }

    @Test
    void resetOfANonIdempotentRequestIsAnsweredWithAnError() throws IOException {
        assertEquals(
                0,
                run(
                        batch(SPAWN, LIST),
                        batch(QUERY.replace("\"type\":0", "\"type\":1")),
                        batch("{\"kind\":\"Finished\",\"msg-id\":\"q1\",\"hop\":0,\"endpoint\":\"e1\","
                                + "\"reason\":\"ResetByPeer\",\"rtt-ms\":5,\"stats\":{\"outstanding\":3,\"x\":1}}")));
        assertTrue(
                replies().get(2).contains("{\"kind\":\"Error\",\"msg-id\":\"q1\"}"),
                replies().get(2));
    }

    @Test
    void restartWithinABatchDropsPendingRequests() throws IOException {
        assertEquals(
                0,
                run(
                        batch(SPAWN, LIST),
                        batch(QUERY),
                        batch("{\"kind\":\"Stop\"}", SPAWN, LIST),
                        batch("{\"kind\":\"Finished\",\"msg-id\":\"q1\",\"hop\":0,\"endpoint\":\"e1\","
                                + "\"reason\":\"TimedOut\",\"rtt-ms\":5}")));
        assertEquals(
                "{\"batch\":3,\"parts\":[{\"i\":\"sidecar/0\",\"out\":[]}]}",
                replies().get(3));
    }

    @Test
    void unknownKindsAndFieldsAreSkippedAndAKindIsReportedOnce() throws IOException {
        assertEquals(
                0,
                run(
                        batch(SPAWN, LIST),
                        batch("{\"kind\":\"Novel\",\"x\":{\"y\":[1]}}"),
                        batch("{\"kind\":\"Novel\"}", QUERY.replace("}", ",\"work-ms\":3,\"odd\":{\"a\":[]}}"))));
        assertEquals(1, errors.toString(StandardCharsets.UTF_8).lines().count());
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("'Novel'"));
        assertTrue(replies().get(2).contains("HandOff"));
    }

    @Test
    void unsolicitedEventsCauseNoActions() throws IOException {
        assertEquals(
                0,
                run(
                        batch(SPAWN, LIST),
                        batch(
                                "{\"kind\":\"NeighbourSays\",\"neighbour\":2,\"payload\":\"68\"}",
                                "{\"kind\":\"PingResult\",\"reason\":\"Ok\",\"endpoint\":\"e9\",\"rtt-ms\":1}",
                                "{\"kind\":\"Fired\",\"name\":77}",
                                "{\"kind\":\"CancelledByClient\",\"msg-id\":\"q7\"}",
                                "{\"kind\":\"Accepted\",\"msg-id\":\"q7\",\"hop\":0,"
                                        + "\"endpoint\":\"e1\",\"rtt-ms\":1}")));
        assertEquals(
                "{\"batch\":1,\"parts\":[{\"i\":\"sidecar/0\",\"out\":[]}]}",
                replies().get(1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"kind\":\"Finished\",\"msg-id\":\"q1\",\"hop\":0,\"reason\":\"Odd\"} | unknown outcome 'Odd'",
                "{\"kind\":\"Endpoints\",\"mode\":0,\"ref\":16} | list number 16 is out of range",
                "{\"kind\":\"Endpoints\",\"mode\":7,\"ref\":0} | unknown mode 7",
                "{\"kind\":\"Inventory\",\"ref\":1,\"entries\":[{\"endpoint\":\"e\",\"state\":5}]} | unknown state 5",
                "{\"kind\":\"Inventory\",\"ref\":1,\"entries\":[{\"state\":1}]} | server.id must be given",
                "{\"kind\":\"Query\",\"msg-id\":\"q2\",\"drop-dead-ms\":9000,\"type\":9} | class 9",
                "{\"kind\":\"Query\",\"msg-id\":\"q2\",\"drop-dead-ms\":9000,\"tenant\":4} | tenant 4",
                "7 | an event should begin with",
            })
    void invalidEventStopsTheAdapterWithOneErrorLine(String event, String expected) throws IOException {
        assertEquals(1, run(batch(SPAWN, LIST), batch(QUERY, event)));
        String line = errors.toString(StandardCharsets.UTF_8);
        assertEquals(1, line.lines().count(), line);
        assertTrue(line.contains("batch 1") && line.contains("sidecar/0") && line.contains(expected), line);
        assertEquals(1, replies().size(), "the malformed batch should get no reply");
    }

    @Test
    void unknownInstanceIsNamed() throws IOException {
        assertEquals(1, run(batch(QUERY)));
        assertTrue(errors.toString(StandardCharsets.UTF_8)
                .contains("batch 0, instance sidecar/0: an event for an instance that was never started"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"wall-ms\":1,\"batch\":3,\"parts\":[",
                "{\"wall-ms\":1,\"bat",
                "{]",
                "{\"wall-ms\":1,\"batch\":3}",
                "[1]"
            })
    void malformedInputStopsTheAdapter(String text) throws IOException {
        assertEquals(1, run(text));
        assertEquals(
                1, errors.toString(StandardCharsets.UTF_8).lines().count(), errors.toString(StandardCharsets.UTF_8));
        assertTrue(replies().isEmpty());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"replicas-of-me\":1 | \"replicas-of-me\":0 | balancers must be above 0 but is 0",
                "\"try-limit\":3 | \"try-limit\":\"x\" | try-limit should be a number but is x",
                "\"hard-limit-ms\":3000 | \"hard-limit-ms\":-1 | classes[].deadline must be above 0 but is -1",
                "\"effect\":\"once\" | \"effect\":\"twice\" | classes[].effect is unknown: twice",
                "\"cold-share\":0.3 | \"cold-share\":0 | rules.coldShare must be above 0 but is 0",
            })
    void invalidSettingIsReportedByNameAndValue(String from, String to, String expected) throws IOException {
        assertEquals(1, run(batch(SPAWN.replace(from, to), LIST)));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains(expected), errors.toString(StandardCharsets.UTF_8));
    }

    @Test
    void missingSettingsAreReported() throws IOException {
        assertEquals(1, run(batch("{\"kind\":\"Spawn\",\"init-seed\":1,\"params\":{}}")));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("setting "));
    }

    @Test
    void invalidCommandLinePrintsTheUsage() throws IOException {
        for (String[] args : new String[][] {{}, {"other"}, {"benchlink", "more"}}) {
            errors.reset();
            assertEquals(
                    2,
                    Main.run(
                            args,
                            new ByteArrayInputStream(new byte[0]),
                            out,
                            new PrintStream(errors, true, StandardCharsets.UTF_8)));
            assertTrue(errors.toString(StandardCharsets.UTF_8).startsWith("usage: "));
        }
    }
}
