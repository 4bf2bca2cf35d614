package martenlatch.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import martenlatch.sidecar.SoakEndpoint.Plan;

/** A client of a soak that misuses the sidecar in a random way on each connection. */
final class HostileClient implements Runnable {

    private static final int PAUSE_MS = 40;

    private final String name;
    private final AtomicReference<InetSocketAddress> address;
    private final SoakEndpoint endpoints;
    private final SplittableRandom random;
    private final List<String> violations;
    private final BooleanSupplier ending;
    private int requestCount;

    HostileClient(
            String name,
            AtomicReference<InetSocketAddress> address,
            SoakEndpoint endpoints,
            SplittableRandom random,
            List<String> violations,
            BooleanSupplier ending) {
        this.name = name;
        this.address = address;
        this.endpoints = endpoints;
        this.random = random;
        this.violations = violations;
        this.ending = ending;
    }

    @Override
    public void run() {
        while (!ending.getAsBoolean()) {
            try (RawHttpClient connection = RawHttpClient.connect(address.get())) {
                connection.socket.setSoTimeout(4000);
                misuse(connection);
            } catch (IOException e) {
                // The sidecar has closed the connection, as it may.
                pause(PAUSE_MS);
            }
        }
    }

    private void misuse(RawHttpClient connection) throws IOException {
        switch (random.nextInt(7)) {
            case 0 -> sendManyFields(connection);
            case 1 -> stopInUpload(connection);
            case 2 -> readLate(connection);
            case 3 -> sendBadRequests(connection);
            case 4 -> leaveAndRepeat(connection);
            case 5 -> trickleHead(connection);
            default -> pause(random.nextInt(2000));
        }
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String head(String method, String id, String requestClass) {
        return method + " /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                + "\r\nX-Deadline-Ms: 2000\r\n";
    }

    private String nextId() {
        return name + "-" + requestCount++;
    }

    private void sendManyFields(RawHttpClient connection) throws IOException {
        connection.send("GET /api HTTP/1.1\r\n");
        String fields = "a:\r\n".repeat(1 + random.nextInt(200));
        for (int i = 0; i < 15 && !ending.getAsBoolean(); i++) {
            connection.send(fields);
            pause(PAUSE_MS);
        }
        connection.awaitClose();
    }

    private void trickleHead(RawHttpClient connection) throws IOException {
        String text = head("GET", nextId(), "read");
        for (int i = 0; i < text.length() && !ending.getAsBoolean(); i++) {
            connection.send(text.substring(i, i + 1));
            pause(random.nextInt(PAUSE_MS));
        }
        connection.awaitClose();
    }

    private void stopInUpload(RawHttpClient connection) throws IOException {
        int length = 30_000 + random.nextInt(3_000_000);
        connection.send(head("POST", nextId(), "order") + "Content-Length: " + length + "\r\n\r\n");
        int sent = random.nextInt(Math.min(length, 600_000));
        connection.socket.getOutputStream().write(new byte[sent]);
        connection.awaitClose();
    }

    private void readLate(RawHttpClient connection) throws IOException {
        Plan plan = new Plan(random.nextBoolean() ? "length" : "chunked", 20_000 + random.nextInt(300_000), 1, 5);
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 1 + random.nextInt(8); i++) {
            requests.append(head("GET", nextId(), "read")).append(SoakEndpoint.PLAN_HEADER + ": " + plan + "\r\n\r\n");
        }
        connection.send(requests.toString());
        pause(500 + random.nextInt(3500));
        connection.awaitClose();
    }

    private void sendBadRequests(RawHttpClient connection) throws IOException {
        String[] bad = {
            "GET / HTTP/9\r\n\r\n",
            "POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            head("GET", nextId(), "nothing") + "\r\n",
            head("POST", nextId(), "order") + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            "\u0000\u0001\u0002\r\n\r\n"
        };
        connection.send(bad[random.nextInt(bad.length)].repeat(20));
        connection.awaitClose();
    }

    /** Leaves while an endpoint works, and sends the same id again: it must not be executed twice. */
    private void leaveAndRepeat(RawHttpClient connection) throws IOException {
        String id = nextId();
        String request = head("POST", id, "order") + SoakEndpoint.PLAN_HEADER + ": " + new Plan("length", 10, 1, 300)
                + "\r\nContent-Length: 2\r\n\r\nhi";
        connection.send(request);
        pause(random.nextInt(200));
        connection.close();
        pause(150);
        try (RawHttpClient again = RawHttpClient.connect(address.get())) {
            again.socket.setSoTimeout(4000);
            again.send(request).readHead();
        }
        if (endpoints.executions(id) > 1) {
            violations.add(id + ": executed " + endpoints.executions(id) + " times after its client had left");
        }
    }
}
