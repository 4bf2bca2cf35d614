package martenlatch.load;

import io.netty.channel.IoEventLoop;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A thread of the load generator. It runs its event loop itself and sends due requests between two reads of its
 * sockets, so that no timer and no other thread delays a send. It does not sleep when the next send is less than 1 ms
 * away, because operating systems do not wake threads that precisely.
 */
final class Worker implements Runnable {

    /** Resolution of the selector's time-out. */
    private static final long SELECTOR_TICK_NANOS = 1_000_000;
    /** Bounds the delay until the worker notices a stop. */
    private static final long MAX_SLEEP_NANOS = 20_000_000;

    private static final long SECOND_NANOS = 1_000_000_000;
    /** Delay of the first retry if the service sent no Retry-After. */
    private static final double DEFAULT_BACKOFF_MS = 100;

    /** A timer; its task can be cancelled. */
    private static final class Timer implements Comparable<Timer> {
        private final long dueNanos;
        private final long order;
        private Runnable task;

        Timer(long dueNanos, long order, Runnable task) {
            this.dueNanos = dueNanos;
            this.order = order;
            this.task = task;
        }

        void run() {
            if (task != null) {
                task.run();
            }
        }

        /** Cancels the task. The timer stays queued until it is due, but no longer keeps the request in memory. */
        void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            return dueNanos != other.dueNanos
                    ? Long.compare(dueNanos, other.dueNanos)
                    : Long.compare(order, other.order);
        }
    }

    /** An arrival that has not ended. */
    private final class OpenArrival {
        private final Arrival arrival;
        private int requestsSent;
        private Driver.Call call;
        private boolean over;
        /** Incremented at each request and at its end, so that timers and notifications of earlier ones are ignored. */
        private int serial;

        private boolean written;
        private Timer timeout;

        OpenArrival(Arrival arrival) {
            this.arrival = arrival;
        }

        void sendRequest() {
            boolean first = requestsSent++ == 0;
            long nowNanos = clock();
            // The deadline counts from the send, not from the intended time. Otherwise requests of a late generator
            // would time out at once and cost a connection each, which would keep it late. The latency includes the
            // lateness.
            long deadlineNanos = nowNanos + arrival.deadlineMs() * 1_000_000L;
            int ownSerial = ++serial;
            written = false;
            part(arrival).stats(arrival.kind()).recordRequest();
            timeout = schedule(deadlineNanos, () -> {
                if (!over && ownSerial == serial) {
                    boolean sent = call.giveUp();
                    ended(
                            sent ? RequestOutcome.TIMED_OUT : RequestOutcome.NOT_SENT,
                            sent ? "no answer" : "no connection",
                            Double.NaN);
                }
            });
            call = driver.send(
                    arrival,
                    prefix + arrival.number() + "-" + requestsSent,
                    !first,
                    deadlineNanos - nowNanos,
                    new Driver.Ending() {
                        @Override
                        public void written() {
                            if (ownSerial == serial && !over && !written) {
                                written = true;
                                part(arrival).waits += clock() - nowNanos > GeneratorLateness.LATE_NANOS ? 1 : 0;
                            }
                        }

                        @Override
                        public void ended(RequestOutcome outcome, String cause, double retryAfterMs) {
                            if (!over && ownSerial == serial) {
                                part(arrival).lateness.recordAnswer(second.number(), pauseNanos);
                                OpenArrival.this.ended(outcome, cause, retryAfterMs);
                            }
                        }
                    });
        }

        private void ended(RequestOutcome outcome, String cause, double retryAfterMs) {
            serial++;
            if (timeout != null) {
                timeout.cancel();
            }
            boolean retryable = outcome == RequestOutcome.REFUSED
                    || outcome == RequestOutcome.NOT_SENT
                    || arrival.kind().effect() != LoadClass.Effect.UNSAFE;
            if (outcome != RequestOutcome.SERVED
                    && retryable
                    && requestsSent <= arrival.kind().retries()
                    && !stopped) {
                double waitMs = Double.isNaN(retryAfterMs)
                        ? DEFAULT_BACKOFF_MS * (1 << Math.min(10, requestsSent - 1))
                        : retryAfterMs;
                int ownSerial = serial;
                schedule(clock() + (long) (waitMs * 1e6), () -> {
                    if (!over && ownSerial == serial) {
                        sendRequest();
                    }
                });
                return;
            }
            over = true;
            open.remove(this);
            long latencyNanos = clock() - arrival.intendedNanos();
            second.recordOutcome(outcome, latencyNanos);
            part(arrival).stats(arrival.kind()).recordOutcome(outcome, cause, latencyNanos);
        }
    }

    /** The statistics of a part of the run: the warm-up or the rest. */
    private static final class Part {
        private final Map<LoadClass, LoadStats> stats = new HashMap<>();
        private final GeneratorLateness lateness = new GeneratorLateness();
        private long waits;

        LoadStats stats(LoadClass loadClass) {
            return stats.computeIfAbsent(loadClass, key -> new LoadStats());
        }
    }

    private final Queue<Arrival> feed;
    private final Arrival last;
    private final Function<IoEventLoop, Driver> drivers;
    private final Consumer<Second> seconds;
    private final String prefix;
    private final long startNanos;
    private final long warmUpNanos;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    /** Statistics of the run and of the warm-up; the latter are not reported but counted by the same code. */
    private final Part[] parts = {new Part(), new Part()};

    private final List<String> differences = new ArrayList<>();
    private Driver driver;
    private Second second = new Second(0);
    private long order;
    private long pauseNanos;
    /** Arrivals that have begun and not ended; the statistics are checked against them. */
    private final Set<OpenArrival> open = new HashSet<>();

    private boolean stopped;
    private volatile boolean stop;
    private volatile Throwable failure;

    /**
     * Creates a worker that has not begun.
     *
     * @param feed its arrivals, in order; {@code last} follows the last one
     * @param startNanos start of the run, on the clock of {@link System#nanoTime()}
     * @param warmUpNanos arrivals intended earlier are sent but not reported
     * @param seconds notified of each second when it is over, on the worker's thread
     * @param prefix prefix of all request ids, unique to this run
     */
    Worker(
            Queue<Arrival> feed,
            Arrival last,
            Function<IoEventLoop, Driver> drivers,
            long startNanos,
            long warmUpNanos,
            Consumer<Second> seconds,
            String prefix) {
        this.feed = feed;
        this.last = last;
        this.drivers = drivers;
        this.startNanos = startNanos;
        this.warmUpNanos = warmUpNanos;
        this.seconds = seconds;
        this.prefix = prefix;
    }

    /** Returns the time since the start of the run, in nanoseconds. */
    private long clock() {
        return System.nanoTime() - startNanos;
    }

    private Part part(Arrival arrival) {
        return part(arrival.intendedNanos());
    }

    /**
     * Returns the part of the run that a time belongs to. Arithmetic replaces a branch, because the first time a branch
     * goes the other way the JVM discards the compiled code.
     */
    private Part part(long atNanos) {
        return parts[(int) ((atNanos - warmUpNanos) >>> 63)];
    }

    private Timer schedule(long dueNanos, Runnable task) {
        Timer timer = new Timer(dueNanos, order++, task);
        timers.add(timer);
        return timer;
    }

    /** Stops sending; the worker ends when all open arrivals have ended. */
    void stop() {
        stop = true;
    }

    @Override
    public void run() {
        ManualIoEventLoop loop = new ManualIoEventLoop(Thread.currentThread(), NioIoHandler.newFactory());
        driver = drivers.apply(loop);
        try {
            work(loop);
        } catch (RuntimeException | Error e) {
            failure = e;
        } finally {
            driver.close();
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            while (!loop.isTerminated()) {
                loop.runNow();
            }
        }
    }

    private void work(ManualIoEventLoop loop) {
        Arrival next = feed.poll();
        long lastReadNanos = clock();
        while (next != last && !stop || !open.isEmpty()) {
            long nowNanos = clock();
            rollTo(nowNanos);
            stopped = stop;
            while (!timers.isEmpty() && timers.peek().dueNanos <= nowNanos) {
                timers.poll().run();
            }
            if (next == null) {
                next = feed.poll();
            }
            while (next != null && next != last && !stopped && next.intendedNanos() <= nowNanos) {
                begin(next);
                next = feed.poll();
                // Also reads the sockets during a burst of sends.
                if (clock() - nowNanos > SELECTOR_TICK_NANOS / 2) {
                    break;
                }
            }
            long dueNanos = Math.min(
                    next == null ? 0 : next == last || stopped ? Long.MAX_VALUE : next.intendedNanos(),
                    timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueNanos);
            long sleepNanos = Math.min(dueNanos - clock() - SELECTOR_TICK_NANOS, MAX_SLEEP_NANOS);
            long beforeNanos = clock();
            // The time since the last read counts as a pause, unless it was spent waiting in the selector.
            pauseNanos = beforeNanos - lastReadNanos;
            part(beforeNanos).lateness.recordPause(pauseNanos);
            if (sleepNanos >= SELECTOR_TICK_NANOS) {
                loop.run(sleepNanos);
                // Waiting in the selector for a socket or the time-out is not a pause.
                lastReadNanos = Math.max(beforeNanos, clock() - SELECTOR_TICK_NANOS / 10);
            } else {
                loop.runNow();
                lastReadNanos = beforeNanos;
                Thread.onSpinWait();
            }
        }
        rollTo((second.number() + 1L) * SECOND_NANOS);
        checkCounts();
    }

    /** Counts the open arrivals anew and records a difference if arrivals are not the sum of ended and open ones. */
    private void checkCounts() {
        for (Part part : parts) {
            part.stats.values().forEach(stats -> stats.open(0));
        }
        for (OpenArrival one : open) {
            LoadStats stats = part(one.arrival).stats(one.arrival.kind());
            stats.open(stats.open() + 1);
        }
        parts[0].stats.forEach((loadClass, stats) -> {
            if (stats.wishes() != stats.ended() + stats.open()) {
                differences.add(loadClass.name() + " in second " + second.number() + ": " + stats.wishes() + " sent, "
                        + stats.ended() + " ended, " + stats.open() + " open");
            }
        });
    }

    private void begin(Arrival arrival) {
        long lateNanos = clock() - arrival.intendedNanos();
        second.recordArrival(lateNanos);
        part(arrival).lateness.recordSend(second.number(), lateNanos);
        part(arrival).stats(arrival.kind()).recordArrival();
        OpenArrival begun = new OpenArrival(arrival);
        open.add(begun);
        begun.sendRequest();
    }

    /** Reports all seconds that ended before a time. */
    private void rollTo(long nowNanos) {
        while (nowNanos >= (second.number() + 1L) * SECOND_NANOS) {
            seconds.accept(second);
            if (differences.isEmpty()) {
                checkCounts();
            }
            second = new Second(second.number() + 1);
        }
    }

    // The following methods must be called only after the thread has ended.

    Map<LoadClass, LoadStats> stats() {
        return parts[0].stats;
    }

    GeneratorLateness lateness() {
        return parts[0].lateness;
    }

    /** Returns the seconds at which arrivals were not the sum of ended and open ones; empty if there were none. */
    List<String> differences() {
        return differences;
    }

    /** Returns the number of requests that waited for a connection for more than 1 ms. */
    long waits() {
        return parts[0].waits;
    }

    Throwable failure() {
        return failure;
    }
}
