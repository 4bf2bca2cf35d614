package martenlatch.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A body between a client and an endpoint: what is held, who waits, and what is let go. */
class StreamedRequestBodyTest {

    private static final int PART = 8 * 1024;

    private boolean paused;
    private int attachments;
    private int ends;
    private final List<ByteBuf> made = new ArrayList<>();
    private final List<ByteBuf> taken = new ArrayList<>();
    private final StreamedRequestBody body = new StreamedRequestBody(-1, new StreamedRequestBody.Source() {
        @Override
        public void setPaused(boolean now) {
            paused = now;
        }

        @Override
        public void onSinkAttached() {
            attachments++;
        }
    });
    private final StreamedRequestBody.Sink sink = new StreamedRequestBody.Sink() {
        @Override
        public void onPart(ByteBuf bytes) {
            taken.add(bytes);
        }

        @Override
        public void onEnd() {
            ends++;
        }
    };

    private void offer(int parts) {
        for (int i = 0; i < parts; i++) {
            ByteBuf part = Unpooled.wrappedBuffer(new byte[PART]);
            made.add(part);
            body.offer(part);
        }
    }

    private long held() {
        return made.stream().filter(part -> part.refCnt() > 0).count();
    }

    @Test
    void theClientWaitsWhileTheEndpointDoes() {
        offer(3);
        assertFalse(paused);
        offer(1);
        assertTrue(paused, "32 KiB wait");
        assertTrue(body.isAvailableFromStart(), "and can still go to any endpoint");
        body.attach(sink);
        assertEquals(1, attachments);
        assertFalse(paused);
        assertEquals(4, taken.size());
        body.setSinkFull(true);
        offer(4);
        assertTrue(paused);
        assertEquals(4, taken.size());
        body.setSinkFull(false);
        assertFalse(paused);
        body.complete();
        assertEquals(made, taken, "all of it, in order");
        assertEquals(1, ends);
        assertFalse(body.isAvailableFromStart());
    }

    @Test
    void theEndWaitsForWhatIsBeforeIt() {
        body.attach(sink);
        body.setSinkFull(true);
        offer(1);
        body.complete();
        assertEquals(0, ends);
        body.setSinkFull(false);
        assertEquals(1, ends);
    }

    /** Guards against a client held up, and memory held, for an endpoint that is gone. */
    @Test
    void whatNobodyTakesIsLetGo() {
        body.attach(sink);
        body.setSinkFull(true);
        offer(5);
        assertTrue(paused);
        body.detach();
        assertFalse(paused, "the rest is read, to be dropped");
        offer(5);
        assertEquals(0, held());
        assertFalse(body.isAvailableFromStart());
    }

    @Test
    void whatIsCutIsLetGo() {
        offer(4);
        body.abort();
        offer(1);
        assertEquals(0, held());
        assertFalse(body.isAvailableFromStart(), "no endpoint gets half of it");
        assertEquals(0, ends);
    }

    /** Behind a body that is whole comes the client's end, which nobody sees while the client waits. */
    @Test
    void aClientWhoseBodyIsWholeIsHeard() {
        offer(5);
        assertTrue(paused);
        body.complete();
        assertFalse(paused);
        body.abort();
        assertEquals(0, held());
    }
}
