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
class UploadTest {

    private static final int PART = 8 * 1024;

    private boolean paused;
    private int goOns;
    private int ends;
    private final List<ByteBuf> made = new ArrayList<>();
    private final List<ByteBuf> taken = new ArrayList<>();
    private final Upload upload = new Upload(-1, new Upload.Source() {
        @Override
        public void pause(boolean now) {
            paused = now;
        }

        @Override
        public void goOn() {
            goOns++;
        }
    });
    private final Upload.Sink sink = new Upload.Sink() {
        @Override
        public void part(ByteBuf bytes) {
            taken.add(bytes);
        }

        @Override
        public void end() {
            ends++;
        }
    };

    private void offer(int parts) {
        for (int i = 0; i < parts; i++) {
            ByteBuf part = Unpooled.wrappedBuffer(new byte[PART]);
            made.add(part);
            upload.offer(part);
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
        assertTrue(upload.isFresh(), "and can still go to any endpoint");
        upload.attach(sink);
        assertEquals(1, goOns);
        assertFalse(paused);
        assertEquals(4, taken.size());
        upload.full(true);
        offer(4);
        assertTrue(paused);
        assertEquals(4, taken.size());
        upload.full(false);
        assertFalse(paused);
        upload.end();
        assertEquals(made, taken, "all of it, in order");
        assertEquals(1, ends);
        assertFalse(upload.isFresh());
    }

    @Test
    void theEndWaitsForWhatIsBeforeIt() {
        upload.attach(sink);
        upload.full(true);
        offer(1);
        upload.end();
        assertEquals(0, ends);
        upload.full(false);
        assertEquals(1, ends);
    }

    /** Guards against a client held up, and memory held, for an endpoint that is gone. */
    @Test
    void whatNobodyTakesIsLetGo() {
        upload.attach(sink);
        upload.full(true);
        offer(5);
        assertTrue(paused);
        upload.detach();
        assertFalse(paused, "the rest is read, to be dropped");
        offer(5);
        assertEquals(0, held());
        assertFalse(upload.isFresh());
    }

    @Test
    void whatIsCutIsLetGo() {
        offer(4);
        upload.cut();
        offer(1);
        assertEquals(0, held());
        assertFalse(upload.isFresh(), "no endpoint gets half of it");
        assertEquals(0, ends);
    }

    /** Behind a body that is whole comes the client's end, which nobody sees while the client waits. */
    @Test
    void aClientWhoseBodyIsWholeIsHeard() {
        offer(5);
        assertTrue(paused);
        upload.end();
        assertFalse(paused);
        upload.cut();
        assertEquals(0, held());
    }
}
