package martenlatch.sidecar;

import io.netty.channel.EventLoop;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenlatch.frontend.http.Frontend;

/**
 * Answers what is in flight and what still arrives, within the time that the platform leaves between SIGTERM and
 * SIGKILL. While there is time clients go on using the connections that they have: where the sidecars that could
 * serve them are still starting, they would find nobody.
 */
final class GracefulShutdown {

    /** New connections still arrive for a while after SIGTERM: until then the listener stays open. */
    private static final int LISTENER_LINGER_MS = 600;

    private static final int EMPTY_POLL_MS = 10;
    /** SIGKILL follows SIGTERM after the longest deadline, or after this time if that is shorter, and the slack. */
    private static final int MAX_KILL_DELAY_MS = 3000;

    private static final int KILL_SLACK_MS = 700;
    /** Time at the end that is reserved for requests in flight: idle connections are closed before it. */
    private static final int IN_FLIGHT_RESERVE_MS = 700;
    /** Slack before SIGKILL for a delayed event loop. */
    private static final int DELAY_SLACK_MS = 300;

    private final EventLoop loop;
    private final SidecarParts parts;
    private final PrintStream log;
    private final long maxDeadlineMs;
    private final CountDownLatch drained = new CountDownLatch(1);

    GracefulShutdown(EventLoop loop, SidecarParts parts, long maxDeadlineMs, PrintStream log) {
        this.loop = loop;
        this.parts = parts;
        this.maxDeadlineMs = maxDeadlineMs;
        this.log = log;
    }

    /** Drains the sidecar; returns once no client is left, or when the time is up. */
    void run() {
        log.println("martenlatch: draining");
        long startedNanos = System.nanoTime();
        long killedAfterMs = Math.min(maxDeadlineMs, MAX_KILL_DELAY_MS) + KILL_SLACK_MS;
        long endMs = killedAfterMs - DELAY_SLACK_MS;
        boolean hasSuccessor = parts.adminOperations.announceLeaving();
        // A delayed event loop starts late, and SIGKILL does not wait for it.
        loop.execute(() -> begin(hasSuccessor, endMs, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)));
        awaitDrained(endMs);
        log.println(
                drained.getCount() == 0
                        ? "martenlatch: drained"
                        : "martenlatch: drain timed out: some connections still have responses to write");
    }

    private void begin(boolean hasSuccessor, long endMs, long lateMs) {
        Frontend frontend = parts.frontend;
        double remainingMs = (double) (endMs - lateMs);
        parts.leaveGossip();
        // Tasks that are due at once run in this order: connections in the accept queue come before idle ones close.
        if (hasSuccessor) {
            log.println("martenlatch: handing over: another process serves this address");
            frontend.handOver(remainingMs);
        } else {
            frontend.drain(remainingMs);
            loop.schedule(frontend::closeListener, LISTENER_LINGER_MS - lateMs, TimeUnit.MILLISECONDS);
        }
        long closeIdleMs = Math.max(LISTENER_LINGER_MS, endMs - IN_FLIGHT_RESERVE_MS);
        loop.schedule(frontend::closeIdleClients, closeIdleMs - lateMs, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                this::checkDrained, Math.max(0, LISTENER_LINGER_MS - lateMs), EMPTY_POLL_MS, TimeUnit.MILLISECONDS);
    }

    private void checkDrained() {
        if (parts.frontend.isDrained()) {
            drained.countDown();
        }
    }

    /** Every request has its answer by the end; clients that do not take theirs are not waited for. */
    private void awaitDrained(long endMs) {
        try {
            drained.await(endMs + DELAY_SLACK_MS / 2, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
