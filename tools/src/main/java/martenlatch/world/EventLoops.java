package martenlatch.world;

import io.netty.channel.EventLoop;

/** Changes state owned by an event loop from any thread. */
final class EventLoops {

    private EventLoops() {}

    /**
     * Runs a change on the event loop and returns when it has run. A change that is only queued might not apply to a
     * request sent right after it, as an event loop reads its sockets before it runs its tasks.
     */
    static void runAndWait(EventLoop loop, Runnable change) {
        if (loop.inEventLoop()) {
            change.run();
        } else {
            loop.submit(change).syncUninterruptibly();
        }
    }
}
