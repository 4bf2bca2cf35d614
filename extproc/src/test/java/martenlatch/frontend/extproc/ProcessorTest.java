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

/** Checks the messages that proxies receive, case by case. */
class ProcessorTest {

    private final ExtProcFixture fixture =
            new ExtProcFixture(ExtProcFixture.endpoint(0), ExtProcFixture.endpoint(1), ExtProcFixture.endpoint(2));
    private final List<ExtProcFixture.Stream> streams = new ArrayList<>();

    private ExtProcFixture.Stream openAndDecide(String id, RequestClass requestClass, int attempt) {
        streams.add(fixture.openAndDecide(id, requestClass, attempt));
        return streams.get(streams.size() - 1);
    }

    /** Checks that no state is left after all streams have ended and all time-outs have passed. */
    @AfterEach
    void noStateIsLeft() {
        streams.forEach(ExtProcFixture.Stream::cancel);
        fixture.runDeferredTasks();
        fixture.scheduler.advance(60_000);
        assertEquals(
                List.of(0, 0, 0, 0),
                List.of(
                        fixture.processor.openStreams(),
                        fixture.processor.pendingRequests(),
                        fixture.requestTracker.pendingRequests(),
                        fixture.processor.rememberedRequests()));
        assertEquals(0, fixture.scheduler.waiting());
    }

    // ---- normal operation ----

    @Test
    void decisionNamesEndpointDeadlineAndTimeOut() {
        ExtProcFixture.Stream stream = openAndDecide("r", ORDER, 1);
        assertTrue(stream.endpoint().matches("10\\.0\\.0\\.1:[123]"), stream.endpoint());
        // The remainder of the client's 1000 ms is reserved for the final answer.
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
        stream.send(ExtProcFixture.response(200, 0));
        assertTrue(stream.isPassedOn());
        assertEquals(1, stream.endCount);
    }

    @Test
    void rejectionHasRetryAfterInWholeSeconds() {
        fixture.restart();
        ExtProcFixture.Stream stream = openAndDecide("r", ORDER, 1);
        assertEquals(503, stream.status());
        assertEquals("1", stream.header("retry-after"), "500 ms");
        assertEquals(1, stream.endCount);
    }

    @Test
    void unsafeRequestThatMayHaveExecutedFails() {
        assertEquals(
                500,
                openAndDecide("r", ORDER, 1)
                        .send(ExtProcFixture.response(500, 0))
                        .status());
    }

    @ParameterizedTest
    @ValueSource(ints = {503, 429})
    void endpointRejectionDoesNotProveThatNothingExecuted(int status) {
        assertEquals(
                500,
                openAndDecide("r", ORDER, 1)
                        .send(ExtProcFixture.response(status, 0))
                        .status());
    }

    /** Guards against a keyed retry that is sent after the endpoints have forgotten the first attempt. */
    @Test
    void keyedRequestIsNotRetriedAfterItsDeduplicationWindow() {
        for (boolean late : new boolean[] {false, true}) {
            String id = "late " + late;
            ExtProcFixture.Stream first = openAndDecide(id, SAVE, 1);
            fixture.scheduler.advance(SAVE.deduplicationWindowMs() * 0.85);
            first.send(ExtProcFixture.response(500, 0));
            fixture.scheduler.advance(SAVE.deduplicationWindowMs() * (late ? 0.15 : 0.05));
            ExtProcFixture.Stream second = openAndDecide(id, SAVE, 2);
            if (late) {
                assertEquals(500, second.status());
            } else {
                assertNotNull(second.endpoint());
            }
        }
    }

    @Test
    void proxyTimeOutIsAnsweredWithGatewayTimeOut() {
        assertEquals(
                504,
                openAndDecide("r", ORDER, 1)
                        .send(ExtProcFixture.response(504, ExtProcFixture.TIMED_OUT_FLAG))
                        .status());
    }

    @Test
    void endpointsInvalidRequestResponseIsPassedOn() {
        assertTrue(openAndDecide("r", ORDER, 1)
                .send(ExtProcFixture.response(404, 0))
                .isPassedOn());
    }

    @ParameterizedTest
    @CsvSource({"503,0,1", "504,0,1", "503,32,0"})
    void unsafeRequestThatNeverExecutedIsRetriedOnAnotherEndpoint(int status, int flags, String notExecuted) {
        ExtProcFixture.Stream first = openAndDecide("r", ORDER, 1);
        first.send(ExtProcFixture.response(status, flags, "x-not-run", notExecuted));
        assertEquals("1", first.header("x-martenlatch-retry"));
        assertEquals("503", first.header(":status"), "correct if the proxy does not retry");
        assertEquals(1, first.endCount);
        ExtProcFixture.Stream second = openAndDecide("r", ORDER, 2);
        assertNotNull(second.endpoint());
        assertNotEquals(first.endpoint(), second.endpoint());
        assertTrue(second.send(ExtProcFixture.response(200, 0)).isPassedOn());
    }

    @Test
    void readThatMayHaveExecutedIsRetriedWithStatus500() {
        ExtProcFixture.Stream first = openAndDecide("r", READ, 1);
        first.send(ExtProcFixture.response(503, ExtProcFixture.CONNECTION_LOST_FLAG));
        assertEquals("1", first.header("x-martenlatch-retry"));
        assertEquals("500", first.header(":status"), "no rejection, because it may have executed");
        assertNotNull(openAndDecide("r", READ, 2).endpoint());
    }

    /** Guards against a slot that stays occupied by an offered attempt whose proxy never retries. */
    @Test
    void offeredAttemptIsWithdrawnIfNoStreamArrives() {
        openAndDecide("r", READ, 1).send(ExtProcFixture.response(500, 0));
        assertEquals(1, fixture.processor.pendingRequests());
        fixture.scheduler.advance(ExtProcFixture.SETTINGS.nextStreamMs() + 1);
        assertEquals(0, fixture.processor.pendingRequests());
        assertEquals(0, fixture.requestTracker.pendingRequests());
    }

    @Test
    void keyedRequestIsRetriedOnlyInItsCell() {
        ExtProcFixture.Stream first = openAndDecide("r", SAVE, 1).send(ExtProcFixture.response(500, 0));
        assertEquals("1", first.header("x-martenlatch-retry"));
        ExtProcFixture.Stream second = openAndDecide("r", SAVE, 2);
        assertEquals(first.endpoint(), second.endpoint(), "each endpoint of this fixture is its own cell");
        fixture.scheduler.advance(SAVE.deduplicationWindowMs());
        assertEquals(500, second.send(ExtProcFixture.response(500, 0)).status(), "its deduplication window has passed");
    }

    // ---- the processor's own time-out ----

    @Test
    void finalAnswerIsSentWhenTheProxyReportsItsResult() {
        ExtProcFixture.Stream stream = openAndDecide("r", ORDER, 1);
        fixture.scheduler.advance(1000);
        assertEquals(1, stream.received.size(), "no message may be sent unprompted");
        assertEquals(
                504,
                stream.send(ExtProcFixture.response(504, ExtProcFixture.TIMED_OUT_FLAG))
                        .status());
    }

    @Test
    void responseJustAfterTheTimeOutIsPassedOn() {
        ExtProcFixture.Stream stream = openAndDecide("r", ORDER, 1);
        fixture.scheduler.advance(1000);
        assertTrue(stream.send(ExtProcFixture.response(200, 0)).isPassedOn());
        assertEquals(500, openAndDecide("r", ORDER, 2).status(), "it has executed");
    }

    @Test
    void lateResponseToAReadWithdrawsTheOfferedAttempt() {
        ExtProcFixture.Stream stream = openAndDecide("r", READ, 1);
        double wait = Double.parseDouble(stream.header("x-envoy-upstream-rq-timeout-ms"));
        assertTrue(wait < 1000, "a read has a short attempt time-out: " + wait);
        fixture.scheduler.advance(wait);
        assertEquals(1, fixture.processor.pendingRequests(), "the next attempt waits for its stream");
        assertTrue(stream.send(ExtProcFixture.response(200, 0)).isPassedOn());
        assertEquals(0, fixture.requestTracker.pendingRequests());
    }

    @Test
    void streamWithoutResultIsEndedAfterTheIdleTimeOut() {
        ExtProcFixture.Stream stream = openAndDecide("r", ORDER, 1);
        fixture.scheduler.advance(1000 + ExtProcFixture.SETTINGS.idleTimeoutMs() + 1);
        assertEquals(Status.Code.DEADLINE_EXCEEDED, stream.error.getCode());
        assertEquals(0, fixture.processor.openStreams());
    }

    // ---- hard cases 1 and 3: the proxy's time-outs and cancelled streams ----

    @Test
    void decisionSentBeforeTheProxyTimesOutMayHaveExecuted() {
        ExtProcFixture.Stream first = openAndDecide("r", ORDER, 1);
        assertNotNull(first.endpoint());
        first.cancel();
        ExtProcFixture.Stream again = openAndDecide("r", ORDER, 2);
        assertNull(again.endpoint());
        assertEquals(500, again.status(), "a failure, not a rejection");
    }

    /** The cancellation is read together with the request, as happens after a pause of the processor. */
    @Test
    void requestCancelledBeforeItsDecisionNeverExecuted() {
        ExtProcFixture.Stream first =
                fixture.open().send(ExtProcFixture.request(ExtProcFixture.headers("r", ORDER, 1)));
        first.cancel();
        ExtProcFixture.Stream again = openAndDecide("r", ORDER, 2);
        assertEquals(0, first.received.size());
        assertNotNull(again.endpoint());
        ExtProcFixture.Stream skipped =
                fixture.open().send(ExtProcFixture.request(ExtProcFixture.headers("s", ORDER, 1)));
        skipped.cancel();
        assertEquals(500, openAndDecide("s", ORDER, 3).status(), "the outcome of the second attempt is unknown");
    }

    /** Guards against a failed retry when the proxy retries after its offered attempt was withdrawn. */
    @Test
    void unsafeRequestMayBeRetriedAfterItsOfferedAttemptWasWithdrawn() {
        openAndDecide("r", ORDER, 1).send(ExtProcFixture.response(503, ExtProcFixture.CONNECT_FAILED_FLAG));
        fixture.scheduler.advance(ExtProcFixture.SETTINGS.nextStreamMs() + 1);
        assertNotNull(openAndDecide("r", ORDER, 2).endpoint());
    }

    @Test
    void readOnACancelledStreamIsRetriedWithoutBlamingTheEndpoint() {
        for (int i = 0; i < 8; i++) {
            ExtProcFixture.Stream first = openAndDecide("r" + i, READ, 1);
            first.cancel();
            assertNotNull(openAndDecide("r" + i, READ, 2).endpoint());
        }
        assertEquals("", fixture.log.toString(StandardCharsets.UTF_8));
    }

    /** Guards against endpoints put on probation because a proxy died with all its streams. */
    @Test
    void deathOfAProxyPutsNoEndpointOnProbation() {
        Map<String, Integer> before = requestsPerEndpoint("a");
        List<ExtProcFixture.Stream> dying = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            dying.add(openAndDecide("dying" + i, READ, 1));
        }
        dying.forEach(ExtProcFixture.Stream::cancel);
        fixture.scheduler.advance(ExtProcFixture.SETTINGS.nextStreamMs() + 1);
        assertEquals(before, requestsPerEndpoint("b"));
    }

    /** Returns the number of requests that each endpoint receives out of a few concurrent ones. */
    private Map<String, Integer> requestsPerEndpoint(String prefix) {
        Map<String, Integer> counts = new TreeMap<>();
        List<ExtProcFixture.Stream> open = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            open.add(openAndDecide(prefix + i, READ, 1));
            counts.merge(open.get(i).endpoint(), 1, Integer::sum);
        }
        for (ExtProcFixture.Stream stream : open) {
            fixture.scheduler.advance(5);
            stream.send(ExtProcFixture.response(200, 0));
        }
        return counts;
    }

    // ---- hard case 2: concurrent streams for one request ----

    @ParameterizedTest
    @CsvSource({"0", "1"})
    void concurrentStreamsForOneRequestGetOneDecision(int attempt) {
        ExtProcFixture.Stream first =
                fixture.open().send(ExtProcFixture.request(ExtProcFixture.headers("r", ORDER, attempt)));
        ExtProcFixture.Stream second =
                fixture.open().send(ExtProcFixture.request(ExtProcFixture.headers("r", ORDER, attempt)));
        fixture.runDeferredTasks();
        assertNotNull(first.endpoint());
        assertEquals(409, second.status());
        assertTrue(first.send(ExtProcFixture.response(200, 0)).isPassedOn());
        assertEquals(500, openAndDecide("r", ORDER, attempt).status(), "it has executed");
    }

    @Test
    void higherAttemptCountReplacesTheEarlierStream() {
        ExtProcFixture.Stream first = openAndDecide("r", READ, 1);
        ExtProcFixture.Stream second = openAndDecide("r", READ, 2);
        assertNotNull(second.endpoint());
        assertEquals(500, first.send(ExtProcFixture.response(500, 0)).status());
        assertEquals(1, fixture.processor.pendingRequests());
        assertTrue(second.send(ExtProcFixture.response(200, 0)).isPassedOn());
        ExtProcFixture.Stream unsafe = openAndDecide("u", ORDER, 1);
        assertEquals(500, openAndDecide("u", ORDER, 2).status());
        assertTrue(unsafe.send(ExtProcFixture.response(200, 0)).isPassedOn(), "the attempt that did execute");
    }

    // ---- hard case 4: restart of the processor ----

    @Test
    void laterAttemptAfterARestartMayHaveExecuted() {
        openAndDecide("r", ORDER, 1);
        openAndDecide("s", READ, 1);
        streams.forEach(ExtProcFixture.Stream::cancel);
        fixture.scheduler.advance(5000);
        fixture.restart(ExtProcFixture.endpoint(0));
        assertEquals(500, openAndDecide("r", ORDER, 2).status());
        assertNotNull(openAndDecide("s", READ, 2).endpoint());
        assertEquals(500, openAndDecide("k", SAVE, 2).status(), "its cell is unknown after the restart");
        assertNotNull(openAndDecide("n", ORDER, 1).endpoint());
    }

    // ---- hard case 5: a drain between decision and sending ----

    @Test
    void offeredAttemptIsNotSentToADrainingEndpoint() {
        openAndDecide("r", ORDER, 1).send(ExtProcFixture.response(503, ExtProcFixture.CONNECT_FAILED_FLAG));
        // The endpoint of the offered attempt is not visible to the test, so all endpoints are drained.
        fixture.updateEndpoints(
                ExtProcFixture.endpoint(0, EndpointStatus.DRAINING),
                ExtProcFixture.endpoint(1, EndpointStatus.DRAINING),
                ExtProcFixture.endpoint(2, EndpointStatus.DRAINING));
        assertEquals(503, openAndDecide("r", ORDER, 2).status());
        assertEquals(0, fixture.processor.pendingRequests());
    }

    @Test
    void drainingAndGoneEndpointsGetNoDecisions() {
        fixture.updateEndpoints(
                ExtProcFixture.endpoint(0, EndpointStatus.DRAINING), ExtProcFixture.endpoint(1, EndpointStatus.GONE));
        for (int i = 0; i < 5; i++) {
            assertEquals("10.0.0.1:3", openAndDecide("r" + i, READ, 1).endpoint());
        }
    }

    // ---- hard case 6: a cold endpoint ----

    /** Each stream belongs to another proxy. With a processor per proxy, each would probe the cold endpoint. */
    @Test
    void coldEndpointIsProtectedAcrossAllProxies() {
        int withSeparateProcessors = 0;
        for (int proxy = 0; proxy < 4; proxy++) {
            ExtProcFixture separate = new ExtProcFixture(
                    ExtProcFixture.endpoint(0), ExtProcFixture.endpoint(1), ExtProcFixture.endpoint(2));
            withSeparateProcessors += requestsToColdEndpoint(separate, 4);
        }
        assertEquals(4, withSeparateProcessors, "one processor per proxy: one request from each");
        assertEquals(1, requestsToColdEndpoint(fixture, 16), "one processor for all proxies: one request in total");
    }

    /** Returns how many of a number of concurrent requests from different proxies go to an endpoint just started. */
    private int requestsToColdEndpoint(ExtProcFixture target, int requests) {
        target.updateEndpoints(new Endpoint("s3", 0, 0, 3, target.scheduler.now(), EndpointStatus.READY, 1));
        int cold = 0;
        for (int i = 0; i < requests; i++) {
            streams.add(target.openAndDecide("r" + i, READ, 1));
            cold += "10.0.0.1:4".equals(streams.get(streams.size() - 1).endpoint()) ? 1 : 0;
        }
        return cold;
    }

    // ---- hard case 7: disconnected clients, drain ----

    @Test
    void cancelledRequestIsReleasedAfterTheNextStreamWait() {
        openAndDecide("r", READ, 1).cancel();
        assertEquals(1, fixture.requestTracker.pendingRequests());
        fixture.scheduler.advance(ExtProcFixture.SETTINGS.nextStreamMs() + 1);
        assertEquals(0, fixture.requestTracker.pendingRequests());
        assertEquals(0, fixture.processor.pendingRequests());
    }

    @Test
    void drainLimitsDeadlines() {
        fixture.processor.drain(400);
        assertEquals("400", openAndDecide("r", ORDER, 1).header("x-deadline-ms"));
    }

    // ---- hard case 8: invalid messages ----

    @ParameterizedTest
    @CsvSource({
        "x-request-id,'',400",
        "x-class,nope,400",
        "x-deadline-ms,soon,400",
        ":method,PUT,405",
        "x-envoy-attempt-count,-1,400"
    })
    void invalidHeadersAreRejectedImmediately(String name, String value, int status) {
        HeaderMap.Builder headers = HeaderMap.newBuilder().addHeaders(ExtProcFixture.value(name, value));
        ExtProcFixture.headers("r", ORDER, 0).getHeadersList().stream()
                .filter(header -> !header.getKey().equals(name))
                .forEach(headers::addHeaders);
        ExtProcFixture.Stream stream = fixture.open().send(ExtProcFixture.request(headers));
        fixture.runDeferredTasks();
        assertEquals(status, stream.status());
        assertEquals(1, stream.endCount);
    }

    @Test
    void overlongIdIsRejected() {
        assertEquals(400, openAndDecide("r".repeat(257), ORDER, 1).status());
        assertNotNull(openAndDecide("r".repeat(256), ORDER, 1).endpoint());
    }

    @Test
    void repeatedHeaderIsRejected() {
        ExtProcFixture.Stream stream = fixture.open()
                .send(ExtProcFixture.request(ExtProcFixture.headers("r", ORDER, 1)
                        .addHeaders(ExtProcFixture.value("X-Request-Id", "other"))));
        fixture.runDeferredTasks();
        assertEquals(400, stream.status());
    }

    @Test
    void outOfOrderMessageEndsOnlyItsStream() {
        ExtProcFixture.Stream other = openAndDecide("other", ORDER, 1);
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                fixture.open().send(ExtProcFixture.response(200, 0)).error.getCode());
        ExtProcFixture.Stream twice =
                openAndDecide("r", READ, 1).send(ExtProcFixture.request(ExtProcFixture.headers("r", READ, 1)));
        assertEquals(Status.Code.INVALID_ARGUMENT, twice.error.getCode());
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                fixture.open()
                        .send(ProcessingRequest.newBuilder()
                                .setRequestBody(HttpBody.getDefaultInstance())
                                .build())
                        .error
                        .getCode());
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                fixture.open()
                        .send(ProcessingRequest.getDefaultInstance())
                        .error
                        .getCode());
        assertEquals(
                Status.Code.FAILED_PRECONDITION,
                fixture.open()
                        .send(ExtProcFixture.request(ExtProcFixture.headers("o", READ, 1)).toBuilder()
                                .setObservabilityMode(true)
                                .build())
                        .error
                        .getCode());
        assertTrue(other.send(ExtProcFixture.response(200, 0)).isPassedOn());
    }

    @Test
    void silentStreamIsEndedAfterTheIdleTimeOut() {
        ExtProcFixture.Stream stream = fixture.open();
        fixture.scheduler.advance(ExtProcFixture.SETTINGS.idleTimeoutMs() - 1);
        assertNull(stream.error);
        fixture.scheduler.advance(1);
        assertEquals(Status.Code.DEADLINE_EXCEEDED, stream.error.getCode());
    }

    @Test
    void streamsAboveTheLimitAreRejectedUntilOthersEnd() {
        for (int i = 0; i < 10_000; i++) {
            streams.add(fixture.open());
        }
        assertEquals(ExtProcFixture.SETTINGS.maxStreams(), fixture.processor.openStreams());
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, streams.get(9999).error.getCode());
        streams.get(0).cancel();
        assertNotNull(openAndDecide("r", READ, 1).endpoint());
    }

    @Test
    void fullHistoryRejectsNewRequests() {
        for (int i = 0; i < ExtProcFixture.SETTINGS.maxRememberedRequests(); i++) {
            fixture.scheduler.advance(1);
            openAndDecide("r" + i, ORDER, 1).send(ExtProcFixture.response(200, 0));
        }
        ExtProcFixture.Stream rejected = openAndDecide("new", READ, 1);
        assertEquals(503, rejected.status());
        assertEquals("1", rejected.header("retry-after"));
        assertEquals(500, openAndDecide("r0", ORDER, 2).status(), "a full table forgets nothing early");
        fixture.scheduler.advance(ExtProcFixture.SETTINGS.rememberMs());
        assertNotNull(openAndDecide("new", READ, 1).endpoint());
    }
}
