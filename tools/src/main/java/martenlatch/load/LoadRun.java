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

/** A load run: one thread reads or draws arrivals in advance, and workers send them. */
public final class LoadRun {

    /** Arrivals queued for each worker: a tenth of a second at a high rate. */
    private static final int QUEUED_ARRIVALS = 8192;
    /** Time for all threads to start. */
    private static final long START_DELAY_NANOS = 100_000_000;

    private static final int FULL_QUEUE_PAUSE_MICROS = 200;

    private final LoadPlan plan;
    private final Arrivals arrivals;
    private final Consumer<Second> secondListener;
    private final List<Worker> workers = new ArrayList<>();
    private final List<Queue<Arrival>> feeds = new ArrayList<>();
    private final Map<Integer, Second> incompleteSeconds = new TreeMap<>();
    private final Queue<Second> reportedSeconds = new ConcurrentLinkedQueue<>();
    private final List<Second> seconds = new ArrayList<>();
    private final long startNanos;
    private volatile boolean stop;
    private volatile IOException readFailure;

    /**
     * Creates a run that has not begun.
     *
     * @param drivers creates a driver for an event loop and a maximum number of connections
     * @param secondListener notified of every second when it is over, on the thread of {@link #run}
     */
    public LoadRun(
            LoadPlan plan,
            Arrivals arrivals,
            BiFunction<IoEventLoop, Integer, Driver> drivers,
            Consumer<Second> secondListener) {
        this.plan = plan;
        this.arrivals = arrivals;
        this.secondListener = secondListener;
        startNanos = System.nanoTime() + START_DELAY_NANOS;
        String run = Long.toHexString(ThreadLocalRandom.current().nextLong());
        for (int i = 0; i < plan.workers(); i++) {
            int maxConnections =
                    plan.connections() / plan.workers() + (i < plan.connections() % plan.workers() ? 1 : 0);
            Queue<Arrival> feed = new ArrayBlockingQueue<>(QUEUED_ARRIVALS);
            feeds.add(feed);
            workers.add(new Worker(
                    feed,
                    LAST,
                    loop -> drivers.apply(loop, maxConnections),
                    startNanos,
                    (long) (plan.warmSeconds() * 1e9),
                    reportedSeconds::add,
                    run + "-"));
        }
    }

    /** Returns the start of the run, on the clock of {@link System#nanoTime()}. */
    public long startNanos() {
        return startNanos;
    }

    /** Marks the end of a worker's queue. */
    private static final Arrival LAST =
            new Arrival(-1, Long.MAX_VALUE, new LoadClass("none", 1, LoadClass.Effect.REPEATABLE, 0, 1, 0), null, 0, 1);

    /** Stops sending; {@link #run} returns when all open arrivals have ended. */
    public void stop() {
        stop = true;
        workers.forEach(Worker::stop);
    }

    /** Runs to the end, or until the run is stopped, and returns the report. */
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
        for (Second rest : incompleteSeconds.values()) {
            finish(rest);
        }
        arrivals.close();
        if (readFailure != null) {
            throw readFailure;
        }
        return report();
    }

    /** Distributes the arrivals among the workers in turn. */
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
            readFailure = e;
        } finally {
            feeds.forEach(feed -> put(feed, LAST));
        }
    }

    private void put(Queue<Arrival> feed, Arrival arrival) {
        while (!feed.offer(arrival) && !stop) {
            try {
                TimeUnit.MICROSECONDS.sleep(FULL_QUEUE_PAUSE_MICROS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Merges the seconds that workers have reported, and finishes those that all of them have reported. */
    private void takeSeconds() {
        for (Second part = reportedSeconds.poll(); part != null; part = reportedSeconds.poll()) {
            Second whole = incompleteSeconds.merge(part.number(), part, Second::add);
            if (whole.parts() == workers.size()) {
                incompleteSeconds.remove(whole.number());
                finish(whole);
            }
        }
    }

    private void finish(Second whole) {
        seconds.add(whole);
        secondListener.accept(whole);
    }

    private LoadReport report() {
        Map<String, LoadStats> classes = new TreeMap<>();
        GeneratorLateness lateness = new GeneratorLateness();
        List<String> differences = new ArrayList<>();
        long waits = 0;
        for (Worker worker : workers) {
            if (worker.failure() != null) {
                throw new IllegalStateException("a worker failed: " + worker.failure(), worker.failure());
            }
            worker.stats()
                    .forEach((loadClass, stats) -> classes.computeIfAbsent(loadClass.name(), name -> new LoadStats())
                            .add(stats));
            lateness.add(worker.lateness());
            differences.addAll(worker.differences());
            waits += worker.waits();
        }
        return new LoadReport(plan, arrivals.seconds(), classes, lateness, seconds, differences, waits);
    }
}
