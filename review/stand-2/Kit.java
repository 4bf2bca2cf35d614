import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** What every case needs: the record, free ports, sidecars as processes, and stand-ins for endpoints and clients. */
final class Kit {

    /** The slack of the rule "No request lost": up to half a second after its time an answer only earns nothing. */
    static final long LATE_MS = 500;

    private Kit() {}

    /** Whether the disruption takes place; TROUBLE=0 leaves it out. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    static final Path ROOT = Path.of(System.getenv("CASE_ROOT"));
    static final Path FOLDER = Path.of(System.getenv("CASE_FOLDER"));
    static final Path TEMP = Path.of(System.getenv("CASE_TEMP"));
    private static final long START_NANOS = System.nanoTime();
    private static BufferedWriter record;
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    private static final AtomicLong NEXT_ID = new AtomicLong();
    private static final String RUN_MARK = Long.toHexString(System.nanoTime() & 0xffffff);

    /** A case: returns whether the rule held. */
    interface Case {
        boolean run() throws Exception;
    }

    /** Runs a case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(Case body) throws IOException {
        record = Files.newBufferedWriter(FOLDER.resolve("record.txt"));
        int status = 2;
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::end));
        try {
            note("disruption " + (TROUBLE ? "on" : "off"));
            status = body.run() ? 0 : 1;
        } catch (Throwable e) {
            note("the case could not run: " + e);
            for (StackTraceElement at : e.getStackTrace()) {
                note("  at " + at);
            }
        }
        String result = status == 0 ? "held" : status == 1 ? "BROKEN" : "could not run";
        note("result: " + result);
        System.out.println("result: " + result);
        System.exit(status);
    }

    private static void end() {
        for (Process each : PROCESSES) {
            each.destroyForcibly();
        }
        for (Process each : PROCESSES) {
            try {
                each.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
        synchronized (Kit.class) {
            try {
                record.flush();
            } catch (IOException e) {
                System.err.println(e);
            }
        }
    }

    /** Returns milliseconds since the start of the case, of a monotonic clock. */
    static double ms() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    /** Writes a line of the record. */
    static synchronized void note(String line) {
        try {
            record.write(String.format(Locale.ROOT, "%10.1f  %s%n", ms(), line));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void check(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException(what);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }

    static String newId() {
        return RUN_MARK + String.format(Locale.ROOT, "%08x", NEXT_ID.incrementAndGet());
    }

    static Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        PROCESSES.add(process);
        return process;
    }

    // ---- JSON ----

    static String json(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder out = new StringBuilder("{");
            map.forEach((k, v) -> out.append(out.length() > 1 ? "," : "").append(json(k)).append(':').append(json(v)));
            return out.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder out = new StringBuilder("[");
            list.forEach(v -> out.append(out.length() > 1 ? "," : "").append(json(v)));
            return out.append(']').toString();
        }
        return value instanceof String text ? '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"' : "" + value;
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    // ---- settings ----

    static Map<String, Object> requestClass(
            String name, String effect, double aimMs, double deadlineMs, double worth, double lateWorth, double windowMs) {
        return map("name", name, "effect", effect, "group", "all", "slo-ms", aimMs, "hard-limit-ms", deadlineMs,
                "worth", worth, "late-worth", lateWorth, "memory-span-ms", windowMs, "stream", false);
    }

    /** The settings of a small deployment, in the form of the wire page's example. */
    static Map<String, Object> settings(List<Map<String, Object>> classes, String membership, int sidecars) {
        return map(
                "azs", List.of("lj-north", "mb-east"),
                "classes", classes,
                "clients", map("marks-retry", true),
                "counted-by", "request",
                "family", "chain",
                "family-info", map("passes-deadline", true),
                "goal", map("whole", 0.6, "worst-class", 0.2, "worst-tenant", 0.0, "worst-window", 0.2),
                "layers", List.of("front-api", "calendar-core"),
                "limits", map("cancel", true, "cpu-us-per-request", 10.0, "cpu-us-per-s", 15000,
                        "dial-timeout-ms", 150.0, "idle-close-ms", 15000.0, "max-retry-after-ms", 2000.0,
                        "may-tell", true, "most-held", 20000, "multiplex", 1, "parallel-tries", true,
                        "probes", true, "retry-after", false, "try-limit", 5),
                "load-info", map("columns", List.of(), "how", "silent"),
                "membership-mode", membership,
                "models", List.of("front-fast"),
                "over-share-worth", 0.1,
                "prices", map("connection", 0.0, "cross-zone", 0.015, "handshake", 0.0, "late-fail", 0.03,
                        "probe", 0.01, "peer", 0.01, "waste", 0.05),
                "projects", List.of(),
                "replicas-of-me", sidecars,
                "rules", map("answer-slack-ms", 20.0, "ask-within-ms", 10000.0, "cold-ms", 24000.0,
                        "cold-share", 0.17, "drain-grace-ms", 500.0, "fall-ms", 1500.0, "tip-multiple", 3.0),
                "slot-no", 0,
                "tick-ms", 5.0,
                "tier", 0,
                "weight-kind", "silent",
                "zone", 0);
    }

    // ---- sidecar ----

    /** One sidecar, started with the command of the deploy file. */
    static final class Sidecar {
        final String name;
        final int port;
        final Path config;
        final Map<String, Object> fields;
        Process process;
        private Process signaller;

        Sidecar(String name, int discoveryPort, Map<String, Object> known, Map<String, Object> settings)
                throws IOException {
            this.name = name;
            port = freePort();
            config = TEMP.resolve(name + ".json");
            fields = map(
                    "name", name,
                    "listen", "127.0.0.1:" + port,
                    "discovery", "127.0.0.1:" + discoveryPort,
                    "seed", Long.toHexString(System.nanoTime()),
                    "limits", map("cores", 1.0, "memory_mb", 192, "sockets", 1024),
                    "known", known,
                    "settings", settings);
            write();
        }

        /** Replaces the configuration file in one step. */
        void write() throws IOException {
            Path next = TEMP.resolve(name + ".next");
            Files.writeString(next, json(fields));
            Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }

        void start() throws IOException {
            String run = Files.readAllLines(ROOT.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .orElseThrow();
            Path folder = Files.createTempDirectory(TEMP, name);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
            builder.directory(ROOT.toFile());
            builder.environment().put("GW_NAME", name);
            builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("GW_DISCOVERY", (String) fields.get("discovery"));
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(TEMP.resolve(name + ".log").toFile()));
            process = Kit.start(builder);
            note("sidecar " + name + " started, process " + process.pid() + ", port " + port);
            signaller = Kit.start(new ProcessBuilder(
                    "/bin/sh", "-c", "while read s; do kill -$s " + process.pid() + "; done"));
        }

        /** Sends a signal with no delay for starting a program. */
        void signal(String signal) throws IOException {
            note("sidecar " + name + ": SIG" + signal);
            OutputStream out = signaller.getOutputStream();
            out.write((signal + "\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        void kill() throws InterruptedException {
            note("sidecar " + name + ": SIGKILL");
            process.destroyForcibly();
            process.waitFor();
        }

        void awaitReady(long withinMs) throws Exception {
            double end = ms() + withinMs;
            while (ms() < end) {
                check(process.isAlive(), "the sidecar ended: " + log());
                try (Client client = new Client(port)) {
                    client.send("GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n", new byte[0]);
                    if (client.receive(1000).status == 200) {
                        note("sidecar " + name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                Thread.sleep(20);
            }
            throw new IllegalStateException("not ready in time: " + log());
        }

        String log() {
            try {
                return Files.readString(TEMP.resolve(name + ".log"));
            } catch (IOException e) {
                return e.toString();
            }
        }

        /** Copies the sidecar's log into the record. */
        void noteLog() {
            log().lines().forEach(line -> note("log of " + name + ": " + line));
        }
    }

    // ---- messages ----

    /** A message head and body as read from a connection. */
    static final class Message {
        String line;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        int status;
        /** The time of the last byte. */
        double atMs;

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException(line.length() == 0 ? "end" : "end within a line");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** Reads one message with a length, with chunks, or (an answer) up to the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.line = readLine(in);
        for (String field = readLine(in); !field.isEmpty(); field = readLine(in)) {
            int colon = field.indexOf(':');
            message.headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
        boolean answer = message.line.startsWith("HTTP/");
        if (answer) {
            message.status = Integer.parseInt(message.line.split(" ")[1]);
        }
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.write(whole(in, size));
                readLine(in);
            }
            readLine(in);
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = whole(in, Integer.parseInt(length));
        } else if (answer) {
            message.body = in.readAllBytes();
        }
        message.atMs = ms();
        return message;
    }

    private static int chunk(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).trim(), 16);
    }

    private static byte[] whole(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("end within a body, after " + bytes.length + " of " + size);
        }
        return bytes;
    }

    // ---- clients ----

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String head, byte[] body) throws IOException {
            socket.getOutputStream().write(bytes(head, body));
        }

        /** Reads an answer; the time-out is for the whole answer, but for reads that each take less than it. */
        Message receive(long timeoutMs) throws IOException {
            socket.setSoTimeout((int) Math.max(1, timeoutMs));
            return Kit.read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Reads an answer with a length piece by piece, so that an answer that does not end can be told. */
    static final class Reading {
        private final InputStream in;
        private final StringBuilder bytes = new StringBuilder();
        private boolean closed;

        Reading(InputStream in) {
            this.in = in;
        }

        /** Reads what has come, or waits for the time-out of the socket. */
        void read() throws IOException {
            byte[] buffer = new byte[4096];
            try {
                int count = in.read(buffer);
                closed = count < 0;
                if (count > 0) {
                    bytes.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                }
            } catch (SocketTimeoutException e) {
                return;
            }
        }

        /** Returns whether the answer is whole or the connection has ended. */
        boolean isEnded() {
            return closed || isWhole();
        }

        private boolean isWhole() {
            int end = bytes.indexOf("\r\n\r\n");
            if (end < 0) {
                return false;
            }
            String head = bytes.substring(0, end).toLowerCase(Locale.ROOT);
            int length = head.indexOf("content-length: ");
            if (length < 0) {
                return bytes.indexOf("\r\n0\r\n\r\n", end) >= 0;
            }
            String value = head.substring(length + 16).lines().findFirst().orElse("0").trim();
            return bytes.length() - end - 4 >= Integer.parseInt(value);
        }

        String describe() {
            String line = bytes.toString().lines().findFirst().orElse("nothing");
            return (isWhole() ? "whole answer " : closed ? "connection ended within " : bytes.length() + " bytes of ")
                    + line;
        }
    }

    static byte[] bytes(String head, byte[] body) {
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }

    /** The head of a request in the form of the protocol page. */
    static String head(String id, String requestClass, boolean get, String key, long deadlineMs, int bodyLength) {
        return (get ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + id + "\r\nX-Class: "
                + requestClass + "\r\nCookie: key=7f3a9c21e0b4d655\r\nX-Deadline-Ms: " + deadlineMs + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (get ? "" : "Content-Length: " + bodyLength + "\r\n") + "\r\n";
    }

    // ---- endpoints ----

    /** What an endpoint does with a request that has come whole. */
    interface Handler {
        void handle(Server server, Message request, Socket socket) throws Exception;
    }

    /** A stand-in for an endpoint. */
    static final class Server {
        final String id;
        final String zone;
        final ServerSocket listener;
        volatile String state = "in_service";
        volatile long startedMs;
        volatile Handler handler;
        /** The requests that have come whole, by id. */
        final Map<String, List<Double>> received = new ConcurrentHashMap<>();
        /** The classes of these requests. */
        final Map<String, String> classes = new ConcurrentHashMap<>();

        Server(String id, String zone, Handler handler) throws IOException {
            this.id = id;
            this.zone = zone;
            this.handler = handler;
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
            daemon(this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                note("endpoint " + id + " stopped listening");
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message request = read(in);
                    String requestId = request.header("X-Request-Id");
                    received.computeIfAbsent(requestId, k -> new CopyOnWriteArrayList<>()).add(request.atMs);
                    classes.put(requestId, request.header("X-Class"));
                    note("endpoint " + id + " got " + requestId + " " + request.header("X-Class") + ", deadline "
                            + request.header("X-Deadline-Ms"));
                    handler.handle(this, request, socket);
                }
            } catch (Exception e) {
                // The connection has ended.
            }
        }

        Map<String, Object> entry() {
            return map("id", id, "addr", "127.0.0.1:" + port(), "zone", zone, "kind", "front-fast", "cell", 0,
                    "state", state, "weight", 1.0, "started_ms", startedMs);
        }
    }

    /** Answers after some time of work, as a sound endpoint does. */
    static Handler serves(long workMs) {
        return (server, request, socket) -> {
            Thread.sleep(workMs);
            answer(socket, 200, "", body(server, request));
        };
    }

    static byte[] body(Server server, Message request) {
        return ("served " + request.header("X-Request-Id") + " by " + server.id).getBytes(StandardCharsets.US_ASCII);
    }

    static void answer(Socket socket, int status, String moreHeaders, byte[] body) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + " X\r\n" + moreHeaders + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        socket.getOutputStream().write(all);
    }

    // ---- discovery ----

    /** A stand-in for discovery: the whole list, and watches. */
    static final class Discovery {
        /** Decides what happens to a call before it is answered; returns false if it has ended the call itself. */
        interface Gate {
            boolean pass(String path, Socket socket) throws Exception;
        }

        final ServerSocket listener;
        final List<Server> servers;
        volatile Gate gate = (path, socket) -> true;
        private long version = 41;
        private final Map<Server, Long> changedIn = new ConcurrentHashMap<>();

        Discovery(List<Server> servers) throws IOException {
            this.servers = new ArrayList<>(servers);
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
            daemon(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        daemon(() -> serve(socket));
                    }
                } catch (IOException e) {
                    note("discovery stopped listening");
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        synchronized Map<String, Object> whole() {
            List<Object> entries = new ArrayList<>();
            servers.stream().filter(s -> !s.state.equals("terminated")).forEach(s -> entries.add(s.entry()));
            return map("version", version, "full", true, "servers", entries);
        }

        synchronized void change(Server server, String state) {
            server.state = state;
            version++;
            changedIn.put(server, version);
            if (!servers.contains(server)) {
                servers.add(server);
            }
            note("discovery has version " + version + ": " + server.id + " is " + state);
            notifyAll();
        }

        private synchronized Map<String, Object> changes(long index, long waitMs) throws InterruptedException {
            double end = ms() + waitMs;
            while (version <= index && ms() < end) {
                wait(Math.max(1, (long) (end - ms())));
            }
            List<Object> entries = new ArrayList<>();
            servers.stream().filter(s -> changedIn.getOrDefault(s, 0L) > index).forEach(s -> entries.add(s.entry()));
            return map("version", version, "full", false, "servers", entries);
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message call = read(in);
                    String path = call.line.split(" ")[1];
                    if (!gate.pass(path, socket)) {
                        continue;
                    }
                    int index = path.indexOf("index=");
                    Map<String, Object> list = index < 0
                            ? whole()
                            : changes(
                                    Long.parseLong(path.substring(index + 6, path.indexOf('&', index))),
                                    Long.parseLong(path.substring(path.indexOf("wait=") + 5)));
                    byte[] body = json(list).getBytes(StandardCharsets.UTF_8);
                    answer(socket, 200, "Content-Type: application/json\r\n", body);
                    note("discovery answered " + path + ": " + new String(body, StandardCharsets.UTF_8));
                }
            } catch (Exception e) {
                // The connection has ended.
            }
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
