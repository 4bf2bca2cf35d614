package martenlatch.sidecar;

import io.netty.channel.EventLoop;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import martenlatch.frontend.http.Frontend;

/**
 * Drains the sidecar within the time that the platform leaves between SIGTERM and SIGKILL: requests in flight and
 * requests that still arrive are answered. Clients keep using their connections for most of that time, because the
 * other sidecars that could serve them may still be starting.
 */
final class GracefulShutdown {

    /** How long the listener stays open after SIGTERM, as new connections still arrive for a while. */
    private static final int LISTENER_LINGER_MS = 600;

    private static final int DRAINED_POLL_INTERVAL_MS = 10;
    /** SIGKILL follows SIGTERM after the longest deadline, capped at this time, plus {@link #KILL_SLACK_MS}. */
    private static final int MAX_KILL_DELAY_MS = 3000;

    private static final int KILL_SLACK_MS = 700;
    /** Time reserved for requests in flight at the end of the drain; idle connections are closed before it starts. */
    private static final int IN_FLIGHT_RESERVE_MS = 700;
    /** Safety margin before SIGKILL in case the event loop runs late. */
    private static final int EVENT_LOOP_SLACK_MS = 300;

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

    /** Drains the sidecar; returns once no client connection is left, or when the time is up. */
    void run() {
        log.println("martenlatch: draining");
        long startedNanos = System.nanoTime();
        long killDelayMs = Math.min(maxDeadlineMs, MAX_KILL_DELAY_MS) + KILL_SLACK_MS;
        long drainTimeoutMs = killDelayMs - EVENT_LOOP_SLACK_MS;
        boolean hasSuccessor = parts.adminOperations.announceLeaving();
        // A busy event loop starts the drain late, and SIGKILL does not wait for it: the delay counts as elapsed time.
        loop.execute(() ->
                begin(hasSuccessor, drainTimeoutMs, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)));
        awaitDrained(drainTimeoutMs);
        log.println(
                drained.getCount() == 0
                        ? "martenlatch: drained"
                        : "martenlatch: drain timed out: some connections still have responses to write");
    }

    private void begin(boolean hasSuccessor, long drainTimeoutMs, long elapsedMs) {
        Frontend frontend = parts.frontend;
        double remainingMs = (double) (drainTimeoutMs - elapsedMs);
        parts.leaveGossip();
        // Tasks due at the same time run in this order: queued connections are accepted before idle ones are closed.
        if (hasSuccessor) {
            log.println("martenlatch: handing over: another process serves this address");
            frontend.handOver(remainingMs);
        } else {
            frontend.drain(remainingMs);
            loop.schedule(frontend::closeListener, LISTENER_LINGER_MS - elapsedMs, TimeUnit.MILLISECONDS);
        }
        long closeIdleMs = Math.max(LISTENER_LINGER_MS, drainTimeoutMs - IN_FLIGHT_RESERVE_MS);
        loop.schedule(frontend::closeIdleClients, closeIdleMs - elapsedMs, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                this::checkDrained,
                Math.max(0, LISTENER_LINGER_MS - elapsedMs),
                DRAINED_POLL_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private void checkDrained() {
        if (parts.frontend.isDrained()) {
            drained.countDown();
        }
    }

    /**
     * Waits until the sidecar is drained. Every request is answered by the end of the drain; clients that do not read
     * their responses in time are not waited for.
     */
    private void awaitDrained(long drainTimeoutMs) {
        try {
            drained.await(drainTimeoutMs + EVENT_LOOP_SLACK_MS / 2, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
