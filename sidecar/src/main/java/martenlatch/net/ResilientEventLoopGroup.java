package martenlatch.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * A group of one event loop that survives errors. Netty ends the thread of an event loop when an {@link Error} escapes
 * an iteration, for example for lack of memory, and then nobody answers the requests that were read. This event loop
 * reports the error and goes on with its next iteration; if errors keep coming it reports that it cannot go on.
 */
public final class ResilientEventLoopGroup extends MultiThreadIoEventLoopGroup {

    /** The number of errors within {@link #ERROR_WINDOW_MS} after which the event loop counts as failed. */
    static final int MAX_ERRORS = 50;

    static final int ERROR_WINDOW_MS = 1000;

    /** Is notified of errors, on the event loop. */
    public interface ErrorListener {
        /** Called when an iteration has ended with an error; the event loop goes on. */
        void onError(Throwable error);

        /** Called when errors follow each other too fast for the event loop to make progress. */
        void onFailure(Throwable error);
    }

    /** Creates a group whose thread is named after {@code name}. */
    public ResilientEventLoopGroup(String name, ErrorListener listener) {
        super(1, new DefaultThreadFactory(name), NioIoHandler.newFactory(), listener);
    }

    /** Called by the constructor of the superclass, with the listener as the only argument. */
    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory ioHandlerFactory, Object... args) {
        return new Loop(this, executor, ioHandlerFactory, (ErrorListener) args[0]);
    }

    private static final class Loop extends SingleThreadIoEventLoop {
        private final ErrorListener listener;
        private long windowStartNanos = System.nanoTime();
        private int errorsInWindow;

        Loop(
                ResilientEventLoopGroup group,
                Executor executor,
                IoHandlerFactory ioHandlerFactory,
                ErrorListener listener) {
            super(group, executor, ioHandlerFactory);
            this.listener = listener;
        }

        @Override
        protected void run() {
            boolean ended = false;
            while (!ended) {
                ended = runUntilError();
            }
        }

        /** Runs iterations until the event loop is shut down; returns false if an error has escaped one of them. */
        private boolean runUntilError() {
            try {
                super.run();
                return true;
            } catch (Throwable error) {
                report(error);
                return false;
            }
        }

        /** Reports an error. Reporting may itself fail for lack of memory, which must not end the thread either. */
        private void report(Throwable error) {
            try {
                if (isTooFrequent()) {
                    listener.onFailure(error);
                } else {
                    listener.onError(error);
                }
            } catch (Throwable secondError) {
                return;
            }
        }

        private boolean isTooFrequent() {
            long now = System.nanoTime();
            if (now - windowStartNanos > TimeUnit.MILLISECONDS.toNanos(ERROR_WINDOW_MS)) {
                windowStartNanos = now;
                errorsInWindow = 0;
            }
            errorsInWindow++;
            return errorsInWindow > MAX_ERRORS;
        }
    }
}
