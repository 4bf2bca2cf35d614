package martenlatch.frontend.extproc;

import static martenlatch.frontend.extproc.ExtProcFixture.ORDER;
import static martenlatch.frontend.extproc.ExtProcFixture.READ;
import static martenlatch.frontend.extproc.ExtProcFixture.SAVE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpBody;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.grpc.Status;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.RequestClass;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What proxies are told, message by message. */
class ProcessorTest {

    private final ExtProcFixture fixture =
            new ExtProcFixture(ExtProcFixture.server(0), ExtProcFixture.server(1), ExtProcFixture.server(2));
    private final List<ExtProcFixture.Stream> streams = new ArrayList<>();

    private ExtProcFixture.Stream consult(String id, RequestClass kind, int attempt) {
        streams.add(fixture.consult(id, kind, attempt));
        return streams.get(streams.size() - 1);
    }

    /** Whatever happened: when every proxy has left and all time is over, nothing is held. */
    @AfterEach
    void nothingIsLeft() {
        streams.forEach(ExtProcFixture.Stream::breakOff);
        fixture.settle();
        fixture.time.advance(60_000);
        assertEquals(
                List.of(0, 0, 0, 0),
                List.of(
                        fixture.processor.openStreams(),
                        fixture.processor.pendingRequests(),
                        fixture.exchange.pendingRequests(),
                        fixture.processor.rememberedRequests()));
        assertEquals(0, fixture.time.waiting());
    }

    // ---- the ordinary way ----

    @Test
    void aDecisionNamesEndpointDeadlineAndTimeOut() {
        ExtProcFixture.Stream stream = consult("r", ORDER, 1);
        assertTrue(stream.endpoint().matches("10\\.0\\.0\\.1:[123]"), stream.endpoint());
        // The rest of the client's 1000 ms is kept for the final answer.
        assertEquals("960", stream.header("x-deadline-ms"));
        assertEquals("960", stream.header("x-envoy-upstream-rq-timeout-ms"));
        assertEquals(
                stream.endpoint(),
                stream.last()
                        .getDynamicMetadata()
                        .getFieldsOrThrow("envoy.lb")
                        .getStructValue()
                        .getFieldsOrThrow("x-gateway-destination-endpoint")
                        .getStringValue());
        stream.say(ExtProcFixture.response(200, 0));
        assertTrue(stream.isPassedOn());
        assertEquals(1, stream.ends);
    }

    @Test
    void aRefusalSaysWhenToComeBackInWholeSeconds() {
        fixture.restart();
        ExtProcFixture.Stream stream = consult("r", ORDER, 1);
        assertEquals(503, stream.status());
        assertEquals("1", stream.header("retry-after"), "500 ms");
        assertEquals(1, stream.ends);
    }

    @Test
    void anUnsafeRequestThatMayHaveRunFails() {
        assertEquals(
                500, consult("r", ORDER, 1).say(ExtProcFixture.response(500, 0)).status());
    }

    @ParameterizedTest
    @ValueSource(ints = {503, 429})
    void aRefusalOfTheEndpointsOwnIsNotProofOfAnything(int status) {
        assertEquals(
                500,
                consult("r", ORDER, 1).say(ExtProcFixture.response(status, 0)).status());
    }

    /** Guards against a proxy that comes for a keyed repeat when the endpoints have forgotten the first. */
    @Test
    void aKeyedRepeatIsNotHandedOutAfterItsWindow() {
        for (boolean late : new boolean[] {false, true}) {
            String id = "late " + late;
            ExtProcFixture.Stream first = consult(id, SAVE, 1);
            fixture.time.advance(SAVE.deduplicationWindowMs() * 0.85);
            first.say(ExtProcFixture.response(500, 0));
            fixture.time.advance(SAVE.deduplicationWindowMs() * (late ? 0.15 : 0.05));
            ExtProcFixture.Stream second = consult(id, SAVE, 2);
            if (late) {
                assertEquals(500, second.status());
            } else {
                assertNotNull(second.endpoint());
            }
        }
    }

    @Test
    void aTimeOutOfTheProxysIsAGatewayTimeOut() {
        assertEquals(
                504,
                consult("r", ORDER, 1)
                        .say(ExtProcFixture.response(504, ExtProcFixture.TIMED_OUT))
                        .status());
    }

    @Test
    void aRequestTurnedAwayForWhatItIsGoesOnAsItIs() {
        assertTrue(consult("r", ORDER, 1).say(ExtProcFixture.response(404, 0)).isPassedOn());
    }

    @ParameterizedTest
    @CsvSource({"503,0,1", "504,0,1", "503,32,0"})
    void anUnsafeRequestThatNeverRanIsTriedAgainElsewhere(int status, int flags, String notRun) {
        ExtProcFixture.Stream first = consult("r", ORDER, 1);
        first.say(ExtProcFixture.response(status, flags, "x-not-run", notRun));
        assertEquals("1", first.header("x-martenlatch-retry"));
        assertEquals("503", first.header(":status"), "true if nobody comes back");
        assertEquals(1, first.ends);
        ExtProcFixture.Stream second = consult("r", ORDER, 2);
        assertNotNull(second.endpoint());
        assertNotEquals(first.endpoint(), second.endpoint());
        assertTrue(second.say(ExtProcFixture.response(200, 0)).isPassedOn());
    }

    @Test
    void aReadThatMayHaveRunIsTriedAgainUnderAStatusThatSaysSo() {
        ExtProcFixture.Stream first = consult("r", READ, 1);
        first.say(ExtProcFixture.response(503, ExtProcFixture.BROKEN));
        assertEquals("1", first.header("x-martenlatch-retry"));
        assertEquals("500", first.header(":status"), "no refusal: it may have run");
        assertNotNull(consult("r", READ, 2).endpoint());
    }

    /** Guards against a slot held for a proxy that never comes back. */
    @Test
    void anOfferNobodyComesForIsWithdrawn() {
        consult("r", READ, 1).say(ExtProcFixture.response(500, 0));
        assertEquals(1, fixture.processor.pendingRequests());
        fixture.time.advance(ExtProcFixture.OWN.nextStreamMs() + 1);
        assertEquals(0, fixture.processor.pendingRequests());
        assertEquals(0, fixture.exchange.pendingRequests());
    }

    @Test
    void aKeyedRequestIsTriedAgainInItsGroupOnly() {
        ExtProcFixture.Stream first = consult("r", SAVE, 1).say(ExtProcFixture.response(500, 0));
        assertEquals("1", first.header("x-martenlatch-retry"));
        ExtProcFixture.Stream second = consult("r", SAVE, 2);
        assertEquals(first.endpoint(), second.endpoint(), "every server here is a cell of its own");
        fixture.time.advance(SAVE.deduplicationWindowMs());
        assertEquals(500, second.say(ExtProcFixture.response(500, 0)).status(), "its window is over");
    }

    // ---- the module's own time-out ----

    @Test
    void aVerdictThatCameFirstIsToldWhenTheProxyComes() {
        ExtProcFixture.Stream stream = consult("r", ORDER, 1);
        fixture.time.advance(1000);
        assertEquals(1, stream.told.size(), "nothing may be said unasked");
        assertEquals(
                504,
                stream.say(ExtProcFixture.response(504, ExtProcFixture.TIMED_OUT))
                        .status());
    }

    @Test
    void anAnswerThatComesJustAfterTheTimeOutIsPassedOn() {
        ExtProcFixture.Stream stream = consult("r", ORDER, 1);
        fixture.time.advance(1000);
        assertTrue(stream.say(ExtProcFixture.response(200, 0)).isPassedOn());
        assertEquals(500, consult("r", ORDER, 2).status(), "it has run");
    }

    @Test
    void aLateAnswerToAReadWithdrawsWhatWasOfferedSince() {
        ExtProcFixture.Stream stream = consult("r", READ, 1);
        double wait = Double.parseDouble(stream.header("x-envoy-upstream-rq-timeout-ms"));
        assertTrue(wait < 1000, "patience with a read is short: " + wait);
        fixture.time.advance(wait);
        assertEquals(1, fixture.processor.pendingRequests(), "the next attempt waits for its consultation");
        assertTrue(stream.say(ExtProcFixture.response(200, 0)).isPassedOn());
        assertEquals(0, fixture.exchange.pendingRequests());
    }

    @Test
    void aProxyThatNeverTellsIsCutOff() {
        ExtProcFixture.Stream stream = consult("r", ORDER, 1);
        fixture.time.advance(1000 + ExtProcFixture.OWN.idleTimeoutMs() + 1);
        assertEquals(Status.Code.DEADLINE_EXCEEDED, stream.error.getCode());
        assertEquals(0, fixture.processor.openStreams());
    }

    // ---- hard cases 1 and 3: the proxy's time-outs, and streams that break ----

    @Test
    void aDecisionWrittenJustBeforeTheProxysTimeOutMayHaveRun() {
        ExtProcFixture.Stream first = consult("r", ORDER, 1);
        assertNotNull(first.endpoint());
        first.breakOff();
        ExtProcFixture.Stream again = consult("r", ORDER, 2);
        assertNull(again.endpoint());
        assertEquals(500, again.status(), "a failure, and no refusal");
    }

    /** The time-out's reset is read together with the consultation, as after a pause of ours. */
    @Test
    void aDecisionNotWrittenByTheProxysTimeOutNeverRan() {
        ExtProcFixture.Stream first = fixture.open().say(ExtProcFixture.request(ExtProcFixture.heads("r", ORDER, 1)));
        first.breakOff();
        ExtProcFixture.Stream again = consult("r", ORDER, 2);
        assertEquals(0, first.told.size());
        assertNotNull(again.endpoint());
        ExtProcFixture.Stream skipped = fixture.open().say(ExtProcFixture.request(ExtProcFixture.heads("s", ORDER, 1)));
        skipped.breakOff();
        assertEquals(500, consult("s", ORDER, 3).status(), "of the second attempt nothing is known");
    }

    /** Guards against a proxy that comes back later than an offer waits for it. */
    @Test
    void anUnsafeRequestWhoseOfferWasWithdrawnIsStillKnownNotToHaveRun() {
        consult("r", ORDER, 1).say(ExtProcFixture.response(503, ExtProcFixture.NOT_CONNECTED));
        fixture.time.advance(ExtProcFixture.OWN.nextStreamMs() + 1);
        assertNotNull(consult("r", ORDER, 2).endpoint());
    }

    @Test
    void aBrokenStreamOfAReadIsTriedAgainAndBlamesNoEndpoint() {
        for (int i = 0; i < 8; i++) {
            ExtProcFixture.Stream first = consult("r" + i, READ, 1);
            first.breakOff();
            assertNotNull(consult("r" + i, READ, 2).endpoint());
        }
        assertEquals("", fixture.log.toString(StandardCharsets.UTF_8));
    }

    /** Guards against endpoints on trial because a proxy died with all its streams. */
    @Test
    void aProxysDeathPutsNoEndpointOnTrial() {
        Map<String, Integer> before = spread("a");
        List<ExtProcFixture.Stream> dying = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            dying.add(consult("dying" + i, READ, 1));
        }
        dying.forEach(ExtProcFixture.Stream::breakOff);
        fixture.time.advance(ExtProcFixture.OWN.nextStreamMs() + 1);
        assertEquals(before, spread("b"));
    }

    /** Which endpoints a few requests at once go to. */
    private Map<String, Integer> spread(String prefix) {
        Map<String, Integer> counts = new TreeMap<>();
        List<ExtProcFixture.Stream> open = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            open.add(consult(prefix + i, READ, 1));
            counts.merge(open.get(i).endpoint(), 1, Integer::sum);
        }
        for (ExtProcFixture.Stream stream : open) {
            fixture.time.advance(5);
            stream.say(ExtProcFixture.response(200, 0));
        }
        return counts;
    }

    // ---- hard case 2: twice at once ----

    @ParameterizedTest
    @CsvSource({"0", "1"})
    void twoStreamsForOneRequestGetOneDecision(int attempt) {
        ExtProcFixture.Stream one =
                fixture.open().say(ExtProcFixture.request(ExtProcFixture.heads("r", ORDER, attempt)));
        ExtProcFixture.Stream other =
                fixture.open().say(ExtProcFixture.request(ExtProcFixture.heads("r", ORDER, attempt)));
        fixture.settle();
        assertNotNull(one.endpoint());
        assertEquals(409, other.status());
        assertTrue(one.say(ExtProcFixture.response(200, 0)).isPassedOn());
        assertEquals(500, consult("r", ORDER, attempt).status(), "it has run");
    }

    @Test
    void aHigherCountTakesTheRequestOverAndTheOldStreamIsToldNothingOfIt() {
        ExtProcFixture.Stream one = consult("r", READ, 1);
        ExtProcFixture.Stream other = consult("r", READ, 2);
        assertNotNull(other.endpoint());
        assertEquals(500, one.say(ExtProcFixture.response(500, 0)).status());
        assertEquals(1, fixture.processor.pendingRequests());
        assertTrue(other.say(ExtProcFixture.response(200, 0)).isPassedOn());
        ExtProcFixture.Stream unsafe = consult("u", ORDER, 1);
        assertEquals(500, consult("u", ORDER, 2).status());
        assertTrue(unsafe.say(ExtProcFixture.response(200, 0)).isPassedOn(), "the one that did run");
    }

    // ---- hard case 4: our restart ----

    @Test
    void afterOurRestartALaterAttemptMayHaveRun() {
        consult("r", ORDER, 1);
        consult("s", READ, 1);
        streams.forEach(ExtProcFixture.Stream::breakOff);
        fixture.time.advance(5000);
        fixture.restart(ExtProcFixture.server(0));
        assertEquals(500, consult("r", ORDER, 2).status());
        assertNotNull(consult("s", READ, 2).endpoint());
        assertEquals(500, consult("k", SAVE, 2).status(), "its cell is not known any more");
        assertNotNull(consult("n", ORDER, 1).endpoint());
    }

    // ---- hard case 5: a drain between decision and sending ----

    @Test
    void anOfferToAnEndpointThatDrainsSinceGoesElsewhere() {
        consult("r", ORDER, 1).say(ExtProcFixture.response(503, ExtProcFixture.NOT_CONNECTED));
        // Where the offer goes nobody but the module knows: all that it may be drain.
        fixture.change(
                ExtProcFixture.server(0, EndpointStatus.DRAINING),
                ExtProcFixture.server(1, EndpointStatus.DRAINING),
                ExtProcFixture.server(2, EndpointStatus.DRAINING));
        assertEquals(503, consult("r", ORDER, 2).status());
        assertEquals(0, fixture.processor.pendingRequests());
    }

    @Test
    void nothingIsDecidedForADrainingEndpoint() {
        fixture.change(
                ExtProcFixture.server(0, EndpointStatus.DRAINING), ExtProcFixture.server(1, EndpointStatus.GONE));
        for (int i = 0; i < 5; i++) {
            assertEquals("10.0.0.1:3", consult("r" + i, READ, 1).endpoint());
        }
    }

    // ---- hard case 6: a cold endpoint ----

    /** Each stream is another proxy's. A module for each proxy would send every one of them there. */
    @Test
    void aColdEndpointIsSparedByAllProxiesTogether() {
        int apart = 0;
        for (int proxy = 0; proxy < 4; proxy++) {
            ExtProcFixture own =
                    new ExtProcFixture(ExtProcFixture.server(0), ExtProcFixture.server(1), ExtProcFixture.server(2));
            apart += coldOf(own, 4);
        }
        assertEquals(4, apart, "a module for each proxy: one call of each");
        assertEquals(1, coldOf(fixture, 16), "one module for them all: one call in all");
    }

    /** How many of so many calls at once, each of another proxy, go to an endpoint just started. */
    private int coldOf(ExtProcFixture at, int calls) {
        at.change(new Endpoint("s3", 0, 0, 3, at.time.now(), EndpointStatus.READY, 1));
        int cold = 0;
        for (int i = 0; i < calls; i++) {
            streams.add(at.consult("r" + i, READ, 1));
            cold += "10.0.0.1:4".equals(streams.get(streams.size() - 1).endpoint()) ? 1 : 0;
        }
        return cold;
    }

    // ---- hard case 7: clients that go away, drain ----

    @Test
    void aClientThatGoesAwayFreesItsPlaceSoon() {
        consult("r", READ, 1).breakOff();
        assertEquals(1, fixture.exchange.pendingRequests());
        fixture.time.advance(ExtProcFixture.OWN.nextStreamMs() + 1);
        assertEquals(0, fixture.exchange.pendingRequests());
        assertEquals(0, fixture.processor.pendingRequests());
    }

    @Test
    void whileDrainingDeadlinesAreCut() {
        fixture.processor.drain(400);
        assertEquals("400", consult("r", ORDER, 1).header("x-deadline-ms"));
    }

    // ---- hard case 8: what is no consultation ----

    @ParameterizedTest
    @CsvSource({
        "x-request-id,'',400",
        "x-class,nope,400",
        "x-deadline-ms,soon,400",
        ":method,PUT,405",
        "x-envoy-attempt-count,-1,400"
    })
    void badHeadsAreAnsweredAtOnce(String name, String value, int status) {
        HeaderMap.Builder heads = HeaderMap.newBuilder().addHeaders(ExtProcFixture.value(name, value));
        ExtProcFixture.heads("r", ORDER, 0).getHeadersList().stream()
                .filter(header -> !header.getKey().equals(name))
                .forEach(heads::addHeaders);
        ExtProcFixture.Stream stream = fixture.open().say(ExtProcFixture.request(heads));
        fixture.settle();
        assertEquals(status, stream.status());
        assertEquals(1, stream.ends);
    }

    @Test
    void anIdOfAnyLengthIsNotRemembered() {
        assertEquals(400, consult("r".repeat(257), ORDER, 1).status());
        assertNotNull(consult("r".repeat(256), ORDER, 1).endpoint());
    }

    @Test
    void aHeaderOfTwoValuesIsNotReadInOneWay() {
        ExtProcFixture.Stream stream = fixture.open()
                .say(ExtProcFixture.request(
                        ExtProcFixture.heads("r", ORDER, 1).addHeaders(ExtProcFixture.value("X-Request-Id", "other"))));
        fixture.settle();
        assertEquals(400, stream.status());
    }

    @Test
    void messagesOutOfOrderEndTheStreamAndNothingElse() {
        ExtProcFixture.Stream other = consult("other", ORDER, 1);
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                fixture.open().say(ExtProcFixture.response(200, 0)).error.getCode());
        ExtProcFixture.Stream twice =
                consult("r", READ, 1).say(ExtProcFixture.request(ExtProcFixture.heads("r", READ, 1)));
        assertEquals(Status.Code.INVALID_ARGUMENT, twice.error.getCode());
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                fixture.open()
                        .say(ProcessingRequest.newBuilder()
                                .setRequestBody(HttpBody.getDefaultInstance())
                                .build())
                        .error
                        .getCode());
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                fixture.open().say(ProcessingRequest.getDefaultInstance()).error.getCode());
        assertEquals(
                Status.Code.FAILED_PRECONDITION,
                fixture.open()
                        .say(ExtProcFixture.request(ExtProcFixture.heads("o", READ, 1)).toBuilder()
                                .setObservabilityMode(true)
                                .build())
                        .error
                        .getCode());
        assertTrue(other.say(ExtProcFixture.response(200, 0)).isPassedOn());
    }

    @Test
    void aStreamThatSaysNothingIsCutOff() {
        ExtProcFixture.Stream stream = fixture.open();
        fixture.time.advance(ExtProcFixture.OWN.idleTimeoutMs() - 1);
        assertNull(stream.error);
        fixture.time.advance(1);
        assertEquals(Status.Code.DEADLINE_EXCEEDED, stream.error.getCode());
    }

    @Test
    void streamsOverTheBoundAreTurnedAwayAndRoomIsThereAgainAfterwards() {
        for (int i = 0; i < 10_000; i++) {
            streams.add(fixture.open());
        }
        assertEquals(ExtProcFixture.OWN.maxStreams(), fixture.processor.openStreams());
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, streams.get(9999).error.getCode());
        streams.get(0).breakOff();
        assertNotNull(consult("r", READ, 1).endpoint());
    }

    @Test
    void aFullMemoryRefusesWhatIsNew() {
        for (int i = 0; i < ExtProcFixture.OWN.maxRememberedRequests(); i++) {
            fixture.time.advance(1);
            consult("r" + i, ORDER, 1).say(ExtProcFixture.response(200, 0));
        }
        ExtProcFixture.Stream refused = consult("new", READ, 1);
        assertEquals(503, refused.status());
        assertEquals("1", refused.header("retry-after"));
        assertEquals(500, consult("r0", ORDER, 2).status(), "it is not forgotten for that");
        fixture.time.advance(ExtProcFixture.OWN.rememberMs());
        assertNotNull(consult("new", READ, 1).endpoint());
    }
}
