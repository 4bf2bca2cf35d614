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
 * One thread of the generator. It drives its event loop itself, so that between two looks at its sockets it
 * sends what is due: no timer and no other thread stands between the intended time and the send. While the
 * next send is less than a millisecond away it does not sleep, as no system wakes it so exactly.
 */
final class Worker implements Runnable {

    /** A selector sleeps in whole milliseconds. */
    private static final long TICK_NANOS = 1_000_000;
    /** So often at least it looks whether it is to stop. */
    private static final long LONGEST_SLEEP_NANOS = 20_000_000;

    private static final long SECOND_NANOS = 1_000_000_000;
    /** Where the service does not say when to come back. */
    private static final double BACK_OFF_MS = 100;

    /** Something that is due; what it would do is let go of when it is not wanted any more. */
    private static final class Wake implements Comparable<Wake> {
        private final long at;
        private final long order;
        private Runnable task;

        Wake(long at, long order, Runnable task) {
            this.at = at;
            this.order = order;
            this.task = task;
        }

        void run() {
            if (task != null) {
                task.run();
            }
        }

        /** Most calls end long before their time: until then only this is kept of them, and not the call. */
        void letGo() {
            task = null;
        }

        @Override
        public int compareTo(Wake other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A wish that has not ended. */
    private final class Open {
        private final Arrival wish;
        private int tries;
        private Driver.Call call;
        private boolean over;
        /** A later try makes earlier wake-ups void. */
        private int serial;

        private boolean written;
        private Wake timeout;

        Open(Arrival wish) {
            this.wish = wish;
        }

        void attempt() {
            boolean first = tries++ == 0;
            long now = clock();
            // Not from the intended time: if the generator is late, what it sends would have no time left, be
            // cut off, and cost a connection each, which keeps it late. That lateness is in the figures.
            long until = now + wish.deadlineMs() * 1_000_000L;
            int mine = ++serial;
            written = false;
            part(wish).figures(wish.kind()).request();
            timeout = wakeAt(until, () -> {
                if (!over && mine == serial) {
                    boolean sent = call.giveUp();
                    ended(
                            sent ? RequestOutcome.TIMED_OUT : RequestOutcome.NOT_SENT,
                            sent ? "no answer" : "no connection",
                            Double.NaN);
                }
            });
            call = driver.send(wish, prefix + wish.number() + "-" + tries, !first, until - now, new Driver.Ending() {
                @Override
                public void written() {
                    if (mine == serial && !over && !written) {
                        written = true;
                        part(wish).waits += clock() - now > Judgement.LATE_NANOS ? 1 : 0;
                    }
                }

                @Override
                public void ended(RequestOutcome end, String cause, double retryAfterMs) {
                    if (!over && mine == serial) {
                        part(wish).judgement.answered(second.number(), pause);
                        Open.this.ended(end, cause, retryAfterMs);
                    }
                }
            });
        }

        private void ended(RequestOutcome end, String cause, double retryAfterMs) {
            serial++;
            if (timeout != null) {
                timeout.letGo();
            }
            boolean harmless = end == RequestOutcome.REFUSED
                    || end == RequestOutcome.NOT_SENT
                    || wish.kind().effect() != LoadClass.Effect.UNSAFE;
            if (end != RequestOutcome.SERVED && harmless && tries <= wish.kind().retries() && !stopped) {
                double wait = Double.isNaN(retryAfterMs) ? BACK_OFF_MS * (1 << Math.min(10, tries - 1)) : retryAfterMs;
                int mine = serial;
                wakeAt(clock() + (long) (wait * 1e6), () -> {
                    if (!over && mine == serial) {
                        attempt();
                    }
                });
                return;
            }
            over = true;
            open.remove(this);
            long took = clock() - wish.intendedNanos();
            second.ended(end, took);
            part(wish).figures(wish.kind()).ended(end, cause, took);
        }
    }

    /** A part of the run. */
    private static final class Part {
        private final Map<LoadClass, Figures> figures = new HashMap<>();
        private final Judgement judgement = new Judgement();
        private long waits;

        Figures figures(LoadClass kind) {
            return figures.computeIfAbsent(kind, k -> new Figures());
        }
    }

    private final Queue<Arrival> feed;
    private final Arrival last;
    private final Function<IoEventLoop, Driver> drivers;
    private final Consumer<Second> seconds;
    private final String prefix;
    private final long start;
    private final long warmNanos;
    private final PriorityQueue<Wake> wakes = new PriorityQueue<>();
    /** The run's and, behind it, the warm-up's, which nobody reads: both are counted by the same code. */
    private final Part[] parts = {new Part(), new Part()};

    private final List<String> differences = new ArrayList<>();
    private Driver driver;
    private Second second = new Second(0);
    private long order;
    private long pause;
    /** Those that have begun and not ended: what the figures must agree with. */
    private final Set<Open> open = new HashSet<>();

    private boolean stopped;
    private volatile boolean stop;
    private volatile Throwable failure;

    /**
     * A worker that has not begun.
     *
     * @param feed its wishes, in order; {@code last} stands behind the last of them
     * @param start when the run begins, on {@link System#nanoTime()}'s clock
     * @param warmNanos wishes intended earlier are sent but are in no figure
     * @param seconds takes each second when it is over, on the worker's thread
     * @param prefix of all ids, unique to this run
     */
    Worker(
            Queue<Arrival> feed,
            Arrival last,
            Function<IoEventLoop, Driver> drivers,
            long start,
            long warmNanos,
            Consumer<Second> seconds,
            String prefix) {
        this.feed = feed;
        this.last = last;
        this.drivers = drivers;
        this.start = start;
        this.warmNanos = warmNanos;
        this.seconds = seconds;
        this.prefix = prefix;
    }

    private long clock() {
        return System.nanoTime() - start;
    }

    private Part part(Arrival wish) {
        return part(wish.intendedNanos());
    }

    /** By arithmetic: a branch that goes the other way for the first time throws compiled code away. */
    private Part part(long at) {
        return parts[(int) ((at - warmNanos) >>> 63)];
    }

    private Wake wakeAt(long at, Runnable task) {
        Wake made = new Wake(at, order++, task);
        wakes.add(made);
        return made;
    }

    /** From now on nothing new is sent; what is open ends, and then the worker. */
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
        long looked = clock();
        while (next != last && !stop || !open.isEmpty()) {
            long now = clock();
            rollTo(now);
            stopped = stop;
            while (!wakes.isEmpty() && wakes.peek().at <= now) {
                wakes.poll().run();
            }
            if (next == null) {
                next = feed.poll();
            }
            while (next != null && next != last && !stopped && next.intendedNanos() <= now) {
                begin(next);
                next = feed.poll();
                // Under a rush of sends sockets are still looked at.
                if (clock() - now > TICK_NANOS / 2) {
                    break;
                }
            }
            long due = Math.min(
                    next == null ? 0 : next == last || stopped ? Long.MAX_VALUE : next.intendedNanos(),
                    wakes.isEmpty() ? Long.MAX_VALUE : wakes.peek().at);
            long sleep = Math.min(due - clock() - TICK_NANOS, LONGEST_SLEEP_NANOS);
            long before = clock();
            // The time since the last look is ours unless it was spent asleep in the selector.
            pause = before - looked;
            part(before).judgement.paused(pause);
            if (sleep >= TICK_NANOS) {
                loop.run(sleep);
                // Woken by a socket or by time: either way it was not away.
                looked = Math.max(before, clock() - TICK_NANOS / 10);
            } else {
                loop.runNow();
                looked = before;
                Thread.onSpinWait();
            }
        }
        rollTo((second.number() + 1L) * SECOND_NANOS);
        agree();
    }

    /** What is open is counted anew, by what stands open and not by what was begun and ended. */
    private void agree() {
        for (Part part : parts) {
            part.figures.values().forEach(of -> of.open(0));
        }
        for (Open one : open) {
            Figures of = part(one.wish).figures(one.wish.kind());
            of.open(of.open() + 1);
        }
        parts[0].figures.forEach((kind, of) -> {
            if (of.wishes() != of.ended() + of.open()) {
                differences.add(kind.name() + " in second " + second.number() + ": " + of.wishes() + " sent, "
                        + of.ended() + " ended, " + of.open() + " open");
            }
        });
    }

    private void begin(Arrival wish) {
        long late = clock() - wish.intendedNanos();
        second.wish(late);
        part(wish).judgement.sent(second.number(), late);
        part(wish).figures(wish.kind()).wish();
        Open made = new Open(wish);
        open.add(made);
        made.attempt();
    }

    private void rollTo(long now) {
        while (now >= (second.number() + 1L) * SECOND_NANOS) {
            seconds.accept(second);
            if (differences.isEmpty()) {
                agree();
            }
            second = new Second(second.number() + 1);
        }
    }

    // ---- to be read when its thread has ended ----

    Map<LoadClass, Figures> figures() {
        return parts[0].figures;
    }

    Judgement judgement() {
        return parts[0].judgement;
    }

    /** Where sent was not the sum of ends and open, looked at every second; empty if it always was. */
    List<String> differences() {
        return differences;
    }

    /** Requests that waited for a connection for more than a millisecond. */
    long waits() {
        return parts[0].waits;
    }

    Throwable failure() {
        return failure;
    }
}
