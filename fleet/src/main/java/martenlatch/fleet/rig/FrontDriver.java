package martenlatch.fleet.rig;

import io.netty.channel.IoEventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import martenlatch.fleet.front.Front;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.history.History;
import martenlatch.load.Arrival;
import martenlatch.load.Driver;
import martenlatch.load.RequestOutcome;
import martenlatch.load.http.HttpDriver;

/**
 * Drives clients behind the front: sends each request to the sidecar that the front picks, and records it in the
 * history.
 */
final class FrontDriver implements Driver {

    /** Clients give up this much after the deadline that they send. */
    static final int GRACE_MS = 250;

    private static final String CLIENTS_NAME = "clients";

    private final List<HttpDriver> drivers = new ArrayList<>();
    private final Front front;
    private final History history;

    FrontDriver(IoEventLoop loop, List<InetSocketAddress> targets, int maxConnections, Front front, History history) {
        this.front = front;
        this.history = history;
        for (InetSocketAddress target : targets) {
            drivers.add(new HttpDriver(loop, List.of(target), Math.max(1, maxConnections / targets.size())));
        }
    }

    @Override
    public Call send(Arrival wish, String id, boolean retry, long leftNanos, Ending ending) {
        long deadlineNanos = leftNanos - GRACE_MS * 1_000_000L;
        int sidecar = front.pick(history.now(), i -> drivers.get(i).hasIdle());
        String name = "n" + sidecar;
        history.record(
                What.ASKED,
                CLIENTS_NAME,
                name,
                id,
                wish.kind().name() + " " + wish.kind().effect() + " " + deadlineNanos / 1_000_000);
        Call call = drivers.get(sidecar).send(wish, id, retry, deadlineNanos, new Ending() {
            @Override
            public void written() {
                ending.written();
            }

            @Override
            public void ended(RequestOutcome end, String cause, double retryAfterMs) {
                history.record(What.ENDED, CLIENTS_NAME, name, id, end + (cause.isEmpty() ? "" : " " + cause));
                ending.ended(end, cause, retryAfterMs);
            }
        });
        return () -> {
            boolean sent = call.giveUp();
            history.record(
                    What.ENDED,
                    CLIENTS_NAME,
                    name,
                    id,
                    (sent ? RequestOutcome.TIMED_OUT : RequestOutcome.NOT_SENT).toString());
            return sent;
        };
    }

    @Override
    public void close() {
        drivers.forEach(HttpDriver::close);
    }
}
