package martenlatch.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the flow control of a streamed request body, and that its parts are released. */
class StreamedRequestBodyTest {

    private static final int PART_BYTES = 8 * 1024;

    private boolean paused;
    private int attachments;
    private int ends;
    private final List<ByteBuf> offeredParts = new ArrayList<>();
    private final List<ByteBuf> receivedParts = new ArrayList<>();
    private final StreamedRequestBody body = new StreamedRequestBody(-1, new StreamedRequestBody.Source() {
        @Override
        public void setPaused(boolean pauseRequested) {
            paused = pauseRequested;
        }

        @Override
        public void onSinkAttached() {
            attachments++;
        }
    });
    private final StreamedRequestBody.Sink sink = new StreamedRequestBody.Sink() {
        @Override
        public void onPart(ByteBuf bytes) {
            receivedParts.add(bytes);
        }

        @Override
        public void onEnd() {
            ends++;
        }
    };

    private void offer(int parts) {
        for (int i = 0; i < parts; i++) {
            ByteBuf part = Unpooled.wrappedBuffer(new byte[PART_BYTES]);
            offeredParts.add(part);
            body.offer(part);
        }
    }

    private long countUnreleasedParts() {
        return offeredParts.stream().filter(part -> part.refCnt() > 0).count();
    }

    @Test
    void clientIsPausedWhileTooManyBytesArePending() {
        offer(3);
        assertFalse(paused);
        offer(1);
        assertTrue(paused, "32 KiB are pending");
        assertTrue(body.isAvailableFromStart(), "the body can still be sent to any endpoint");
        body.attach(sink);
        assertEquals(1, attachments);
        assertFalse(paused);
        assertEquals(4, receivedParts.size());
        body.setSinkFull(true);
        offer(4);
        assertTrue(paused);
        assertEquals(4, receivedParts.size());
        body.setSinkFull(false);
        assertFalse(paused);
        body.complete();
        assertEquals(offeredParts, receivedParts, "all parts arrive in order");
        assertEquals(1, ends);
        assertFalse(body.isAvailableFromStart());
    }

    @Test
    void endIsForwardedAfterPendingParts() {
        body.attach(sink);
        body.setSinkFull(true);
        offer(1);
        body.complete();
        assertEquals(0, ends);
        body.setSinkFull(false);
        assertEquals(1, ends);
    }

    /** Guards against a client that stays paused, and parts that stay in memory, after the endpoint is gone. */
    @Test
    void partsAreReleasedAfterDetach() {
        body.attach(sink);
        body.setSinkFull(true);
        offer(5);
        assertTrue(paused);
        body.detach();
        assertFalse(paused, "the rest of the body is read and dropped");
        offer(5);
        assertEquals(0, countUnreleasedParts());
        assertFalse(body.isAvailableFromStart());
    }

    @Test
    void partsAreReleasedAfterAbort() {
        offer(4);
        body.abort();
        offer(1);
        assertEquals(0, countUnreleasedParts());
        assertFalse(body.isAvailableFromStart(), "no endpoint receives a partial body");
        assertEquals(0, ends);
    }

    /** Guards against missing the disconnect of a client that stays paused after its body is complete. */
    @Test
    void clientIsResumedWhenBodyIsComplete() {
        offer(5);
        assertTrue(paused);
        body.complete();
        assertFalse(paused);
        body.abort();
        assertEquals(0, countUnreleasedParts());
    }

    /**
     * Guards against an end that is written while the last part is being written: the writes are mixed up, and an
     * endpoint that got the whole request counts as one that never did.
     */
    @Test
    void endFollowsLastPartAlthoughSinkReportsItsStateMeanwhile() {
        List<String> events = new ArrayList<>();
        StreamedRequestBody tested = StreamedRequestBody.complete(new byte[5 * PART_BYTES]);
        tested.attach(new StreamedRequestBody.Sink() {
            @Override
            public void onPart(ByteBuf bytes) {
                events.add("part");
                tested.setSinkFull(true);
                tested.setSinkFull(false);
                bytes.release();
                events.add("written");
            }

            @Override
            public void onEnd() {
                events.add("end");
            }
        });
        assertEquals(List.of("part", "written", "part", "written", "part", "written", "end"), events);
    }
}
