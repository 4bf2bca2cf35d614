package martenlatch.load;

import io.netty.channel.IoEventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/** One run: a thread that reads or draws arrivals ahead, and workers that send them. */
public final class LoadRun {

    /** Arrivals that are drawn ahead for each worker: a tenth of a second at a high rate. */
    private static final int AHEAD = 8192;
    /** Until all threads stand ready. */
    private static final long LEAD_NANOS = 100_000_000;

    private static final int FULL_PAUSE_MICROS = 200;

    private final LoadPlan plan;
    private final Arrivals arrivals;
    private final Consumer<Second> live;
    private final List<Worker> workers = new ArrayList<>();
    private final List<Queue<Arrival>> feeds = new ArrayList<>();
    private final Map<Integer, Second> parts = new TreeMap<>();
    private final Queue<Second> told = new ConcurrentLinkedQueue<>();
    private final List<Second> seconds = new ArrayList<>();
    private final long start;
    private volatile boolean stop;
    private volatile IOException unreadable;

    /**
     * A run that has not begun.
     *
     * @param drivers makes a driver for an event loop, with so many connections at the most
     * @param live hears of every second when it is over, on the thread of {@link #run}
     */
    public LoadRun(
            LoadPlan plan, Arrivals arrivals, BiFunction<IoEventLoop, Integer, Driver> drivers, Consumer<Second> live) {
        this.plan = plan;
        this.arrivals = arrivals;
        this.live = live;
        start = System.nanoTime() + LEAD_NANOS;
        String run = Long.toHexString(ThreadLocalRandom.current().nextLong());
        for (int i = 0; i < plan.workers(); i++) {
            int most = plan.connections() / plan.workers() + (i < plan.connections() % plan.workers() ? 1 : 0);
            Queue<Arrival> feed = new ArrayBlockingQueue<>(AHEAD);
            feeds.add(feed);
            workers.add(new Worker(
                    feed,
                    LAST,
                    loop -> drivers.apply(loop, most),
                    start,
                    (long) (plan.warmSeconds() * 1e9),
                    told::add,
                    run + "-"));
        }
    }

    /** When its time 0 is, on {@link System#nanoTime()}'s clock. */
    public long startNanos() {
        return start;
    }

    private static final Arrival LAST =
            new Arrival(-1, Long.MAX_VALUE, new LoadClass("none", 1, LoadClass.Effect.REPEATABLE, 0, 1, 0), null, 0, 1);

    /** Sends nothing new from now on; {@link #run} returns when what is open has ended. */
    public void stop() {
        stop = true;
        workers.forEach(Worker::stop);
    }

    /** Runs to the end, or until it is stopped. */
    public LoadReport run() throws InterruptedException, IOException {
        Thread feeder = new Thread(this::feed, "load-feed");
        feeder.setDaemon(true);
        List<Thread> threads = new ArrayList<>();
        for (Worker worker : workers) {
            Thread thread = new Thread(worker, "load-" + threads.size());
            thread.setDaemon(true);
            threads.add(thread);
        }
        feeder.start();
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            while (thread.isAlive()) {
                thread.join(50);
                takeSeconds();
            }
        }
        stop = true;
        feeder.join();
        takeSeconds();
        for (Second rest : parts.values()) {
            finish(rest);
        }
        arrivals.close();
        if (unreadable != null) {
            throw unreadable;
        }
        return report();
    }

    private void feed() {
        try {
            for (int turn = 0; !stop; turn++) {
                Arrival next = arrivals.next();
                if (next == null) {
                    break;
                }
                put(feeds.get(turn % feeds.size()), next);
            }
        } catch (IOException e) {
            unreadable = e;
        } finally {
            feeds.forEach(feed -> put(feed, LAST));
        }
    }

    private void put(Queue<Arrival> feed, Arrival wish) {
        while (!feed.offer(wish) && !stop) {
            try {
                TimeUnit.MICROSECONDS.sleep(FULL_PAUSE_MICROS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void takeSeconds() {
        for (Second part = told.poll(); part != null; part = told.poll()) {
            Second whole = parts.merge(part.number(), part, Second::add);
            if (whole.parts() == workers.size()) {
                parts.remove(whole.number());
                finish(whole);
            }
        }
    }

    private void finish(Second whole) {
        seconds.add(whole);
        live.accept(whole);
    }

    private LoadReport report() {
        Map<String, Figures> kinds = new TreeMap<>();
        Judgement judgement = new Judgement();
        List<String> differences = new ArrayList<>();
        long waits = 0;
        for (Worker worker : workers) {
            if (worker.failure() != null) {
                throw new IllegalStateException("a worker failed: " + worker.failure(), worker.failure());
            }
            worker.figures()
                    .forEach((kind, figures) -> kinds.computeIfAbsent(kind.name(), name -> new Figures())
                            .add(figures));
            judgement.add(worker.judgement());
            differences.addAll(worker.differences());
            waits += worker.waits();
        }
        return new LoadReport(plan, arrivals.seconds(), kinds, judgement, seconds, differences, waits);
    }
}
