package martenlatch.world;

import io.netty.channel.EventLoop;

/** Changes state that an event loop owns, from any thread. */
final class EventLoops {

    private EventLoops() {}

    /**
     * Runs a change on the loop and returns once it is in force. A change that is only queued would not hold for a
     * request sent right after it: a loop with both at hand reads from its sockets before it runs its tasks.
     */
    static void runAndWait(EventLoop loop, Runnable change) {
        if (loop.inEventLoop()) {
            change.run();
        } else {
            loop.submit(change).syncUninterruptibly();
        }
    }
}
