package martenlatch.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.IoEvent;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.nio.NioSelectableChannelIoHandle;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.nio.channels.SelectionKey;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against an event loop whose thread ends by an error, after which no request is answered any more. */
@Timeout(60)
class ResilientEventLoopGroupTest {

    private final List<Throwable> errors = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Throwable> failure = new CompletableFuture<>();
    private final ResilientEventLoopGroup group =
            new ResilientEventLoopGroup("test", new ResilientEventLoopGroup.ErrorListener() {
                @Override
                public void onError(Throwable error) {
                    errors.add(error);
                }

                @Override
                public void onFailure(Throwable error) {
                    failure.complete(error);
                }
            });

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Reports a byte in a pipe to a handle that throws an error, outside of any channel's exception handling. */
    private static final class FailingHandle extends NioSelectableChannelIoHandle<Pipe.SourceChannel> {
        private final Pipe pipe;
        private final int failures;
        private int handled;

        FailingHandle(Pipe pipe, int failures) {
            super(pipe.source());
            this.pipe = pipe;
            this.failures = failures;
        }

        @Override
        protected void handle(Pipe.SourceChannel channel, SelectionKey key) {
            handled++;
            if (handled >= failures) {
                readByte();
            }
            throw new OutOfMemoryError("test");
        }

        private void readByte() {
            try {
                pipe.source().read(ByteBuffer.allocate(1));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            handle(pipe.source(), null);
        }
    }

    private void failTimes(int failures) throws Exception {
        Pipe pipe = Pipe.open();
        pipe.source().configureBlocking(false);
        IoEventLoop loop = group.next();
        IoRegistration registration =
                loop.register(new FailingHandle(pipe, failures)).get();
        registration.submit(NioIoOps.READ);
        pipe.sink().write(ByteBuffer.wrap(new byte[1]));
    }

    @Test
    void eventLoopGoesOnAfterAnError() throws Exception {
        failTimes(3);
        while (errors.size() < 3) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertEquals("runs", group.next().submit(() -> "runs").get());
        assertEquals(
                "later",
                group.next().schedule(() -> "later", 10, TimeUnit.MILLISECONDS).get());
        assertFalse(failure.isDone());
        assertTrue(errors.get(0) instanceof OutOfMemoryError);
    }

    @Test
    void errorsInEveryIterationAreReportedAsFailure() throws Exception {
        failTimes(Integer.MAX_VALUE);
        assertTrue(failure.get() instanceof OutOfMemoryError);
    }
}
