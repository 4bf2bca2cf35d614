import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for clients, endpoints, discovery and the platform, for the cases of the review. Loopback only. */
final class Stand {

    private Stand() {}

    static final String HOST = "127.0.0.1";
    private static final long START_NANOS = System.nanoTime();

    static double nowMs() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    static void sleep(double ms) {
        try {
            Thread.sleep(Math.max(0, (long) ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    /** The disruption is left out if the environment has TROUBLE=0. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    // ---- the run of a case ----

    /** What a case needs: its record, and the sidecars that it starts. */
    static final class Stage {
        final Path root;
        final Path folder;
        final Record record;
        private final List<Sidecar> sidecars = new ArrayList<>();

        Stage(Path root, Path folder, Record record) {
            this.root = root;
            this.folder = folder;
            this.record = record;
        }

        /** Starts a sidecar and waits until it is ready. */
        Sidecar start(Discovery discovery, String settings) throws IOException {
            return start(discovery, settings, discovery.list(0));
        }

        /** The same with a list that may be older than discovery's. */
        Sidecar start(Discovery discovery, String settings, String known) throws IOException {
            Sidecar sidecar = new Sidecar(root, folder, discovery, settings, known);
            sidecars.add(sidecar);
            if (!sidecar.awaitReady(30_000)) {
                throw new IOException("the sidecar is not ready");
            }
            record.line("sidecar: ready");
            return sidecar;
        }

        private void end() throws IOException, InterruptedException {
            for (Sidecar sidecar : sidecars) {
                sidecar.end(record);
            }
            delete(folder);
        }
    }

    /** One case; returns what it saw. */
    interface Case {
        Result play(Stage stage) throws Exception;
    }

    /** Whether the rule was broken, and the figures. */
    record Result(boolean broken, String figures) {}

    /** Longer than any case takes, so that a script never runs on. */
    private static final int MAX_RUN_MS = 110_000;

    /**
     * Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. The arguments are
     * the repository's root and the file of the record.
     */
    static void run(String[] args, Case played) {
        start("watchdog", () -> {
            sleep(MAX_RUN_MS);
            System.out.println("the case took too long");
            System.exit(2);
        });
        int status = 2;
        try {
            Path root = Path.of(args[0]).toAbsolutePath().normalize();
            Stage stage = new Stage(root, Files.createTempDirectory("review-"), new Record(Path.of(args[1])));
            try {
                Result result = played.play(stage);
                String line = (result.broken ? "BROKEN: " : "held: ") + result.figures;
                stage.record.line("%s", line);
                System.out.println(line);
                status = result.broken ? 1 : 0;
            } finally {
                stage.end();
            }
        } catch (Exception | Error e) {
            System.out.println("the case could not run: " + e);
            status = 2;
        }
        System.exit(status);
    }

    // ---- record ----

    /** Writes record.txt: one line an event, with the time in milliseconds since the start. */
    static final class Record {
        private final PrintWriter out;

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        }

        synchronized void line(String format, Object... args) {
            out.printf(Locale.ROOT, "%10.1f  %s%n", nowMs(), String.format(Locale.ROOT, format, args));
        }
    }

    // ---- HTTP messages ----

    /** A message as it was read: its first line, its headers (names in lower case) and its body. */
    static final class Message {
        String first;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];
        boolean whole;

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Reads one message; returns null at the end of the stream before its first byte. A body that ends early is kept
     * with {@code whole} false. */
    static Message read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new IOException("end within a head");
            }
            head.write(b);
            matched = b == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : b == '\r' ? 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Message message = new Message();
        message.first = lines[0];
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            message.headers.put(
                    lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            readChunked(in, message);
        } else {
            int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
            message.body = in.readNBytes(length);
            message.whole = message.body.length == length;
        }
        return message;
    }

    private static void readChunked(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in), 16);
            byte[] part = in.readNBytes(size);
            body.writeBytes(part);
            if (part.length < size) {
                break;
            }
            line(in);
            if (size == 0) {
                message.whole = true;
                break;
            }
        }
        message.body = body.toByteArray();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("end within a line");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- endpoints ----

    /** An answer that is not a 200. */
    static final class Status extends RuntimeException {
        final int status;

        Status(int status) {
            super("status " + status, null, false, false);
            this.status = status;
        }
    }

    /** What an endpoint does with a request that it has read whole; it returns the body of its 200. */
    interface Handler {
        byte[] answer(Endpoint endpoint, Message request) throws IOException;
    }

    /** An endpoint: it answers each request on its connection in turn, and keeps connections. */
    static final class Endpoint {
        final String id;
        final int port;
        final ServerSocket listener;
        final Handler handler;
        final Record record;
        volatile String state = "in_service";

        /** Whether connections are taken in; without that they wait in the accept queue, or come up late. */
        volatile boolean accepting = true;

        Endpoint(String id, Handler handler, Record record) throws IOException {
            this(id, handler, record, 512);
        }

        Endpoint(String id, Handler handler, Record record, int backlog) throws IOException {
            this.id = id;
            this.handler = handler;
            this.record = record;
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(HOST, 0), backlog);
            port = listener.getLocalPort();
            Stand.start(id, this::accept);
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    synchronized (this) {
                        while (!accepting) {
                            wait();
                        }
                    }
                    socket.setTcpNoDelay(true);
                    Stand.start(id + "-connection", () -> serve(socket));
                } catch (IOException | InterruptedException e) {
                    return;
                }
            }
        }

        synchronized void resume() {
            notifyAll();
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 65536);
                OutputStream out = socket.getOutputStream();
                for (Message request = read(in); request != null && request.whole; request = read(in)) {
                    int status = 200;
                    byte[] body;
                    try {
                        body = handler.answer(this, request);
                    } catch (Status e) {
                        status = e.status;
                        body = ascii(e.getMessage());
                    }
                    byte[] head = ascii("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n\r\n");
                    byte[] answer = new byte[head.length + body.length];
                    System.arraycopy(head, 0, answer, 0, head.length);
                    System.arraycopy(body, 0, answer, head.length, body.length);
                    out.write(answer);
                }
            } catch (IOException e) {
                record.line("endpoint %s: connection ended: %s", id, e.getMessage());
            }
        }
    }

    // ---- discovery ----

    /** Discovery as the protocol page has it: the whole list, and watches, which are told the entries that changed. */
    static final class Discovery {
        private final int port;
        private ServerSocket listener;
        private final List<Socket> sockets = new ArrayList<>();
        private final List<Endpoint> endpoints;
        private final Record record;
        private final Map<Endpoint, Integer> changedIn = new HashMap<>();
        private int version = 1;
        /** The time over which the bytes of an answer are spread. */
        volatile double spreadMs;
        /** The time that a call waits for its turn before it is looked at. */
        volatile double turnMs;

        Discovery(List<Endpoint> endpoints, Record record) throws IOException {
            this.endpoints = endpoints;
            this.record = record;
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(HOST, 0), 64);
            port = listener.getLocalPort();
            Stand.start("discovery", this::accept);
        }

        int port() {
            return port;
        }

        /** Ends all connections and refuses new ones. */
        void goDown() throws IOException {
            record.line("discovery: down");
            listener.close();
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
                sockets.clear();
            }
        }

        void comeBack() throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(HOST, port), 64);
            record.line("discovery: back");
            Stand.start("discovery", this::accept);
        }

        /** Changes the state of an endpoint, which ends the watches that wait. */
        synchronized void change(Endpoint endpoint, String state) {
            endpoint.state = state;
            changedIn.put(endpoint, ++version);
            record.line("discovery: version %d, %s is %s", version, endpoint.id, state);
            notifyAll();
        }

        /** Returns the whole list, or with a version of 1 or more what has changed since. */
        synchronized String list(int since) {
            StringBuilder servers = new StringBuilder();
            for (Endpoint each : endpoints) {
                if (since > 0 && changedIn.getOrDefault(each, 1) <= since) {
                    continue;
                }
                servers.append(servers.length() == 0 ? "" : ",")
                        .append(String.format(
                                "{\"id\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"a\",\"kind\":\"m1\",\"cell\":0,"
                                        + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":0}",
                                each.id, HOST, each.port, each.state));
            }
            return "{\"version\":" + version + ",\"full\":" + (since == 0) + ",\"servers\":[" + servers + "]}";
        }

        private synchronized void awaitChange(int since, long waitMs) throws IOException {
            double until = nowMs() + waitMs;
            try {
                while (version <= since && nowMs() < until) {
                    wait(Math.max(1, (long) (until - nowMs())));
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    Stand.start("discovery-connection", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = socket.getInputStream();
                for (Message call = read(in); call != null; call = read(in)) {
                    record.line("discovery: asked %s", call.first);
                    Matcher watch = Pattern.compile("index=(\\d+)&wait=(\\d+)").matcher(call.first);
                    int since = watch.find() ? Integer.parseInt(watch.group(1)) : 0;
                    sleep(turnMs);
                    if (since > 0) {
                        awaitChange(since, Long.parseLong(watch.group(2)));
                    }
                    String body = list(since);
                    send(socket, ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body));
                    record.line("discovery: answered %s", body.length() < 300 ? body : body.substring(0, 300));
                }
            } catch (IOException e) {
                record.line("discovery: a call ended by the sidecar: %s", e.getMessage());
            }
        }

        private void send(Socket socket, byte[] answer) throws IOException {
            int pieces = spreadMs > 0 ? 10 : 1;
            for (int i = 0; i < pieces; i++) {
                int from = answer.length * i / pieces;
                socket.getOutputStream().write(answer, from, answer.length * (i + 1) / pieces - from);
                sleep(i + 1 < pieces ? spreadMs / (pieces - 1) : 0);
            }
        }
    }

    // ---- platform ----

    /** One sidecar, started by the deploy file's command. */
    static final class Sidecar {
        final Process process;
        final int port;
        final int adminPort;
        final Path folder;

        Sidecar(Path root, Path folder, Discovery discovery, String settings, String known) throws IOException {
            this.folder = folder;
            port = freePort();
            adminPort = freePort();
            Path config = folder.resolve("config.json");
            String listen = HOST + ":" + port;
            String discoveryAddress = HOST + ":" + discovery.port();
            Files.writeString(
                    config,
                    "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"admin\":\"" + HOST + ":" + adminPort
                            + "\",\"discovery\":\"" + discoveryAddress + "\",\"seed\":\"8c1f30d27a5be964\","
                            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                            + "\"known\":" + known + ",\"settings\":" + settings + "}");
            Path tmp = Files.createDirectories(folder.resolve("tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
            builder.directory(root.toFile());
            builder.environment().put("GW_NAME", "n1");
            builder.environment().put("GW_LISTEN", listen);
            builder.environment().put("GW_DISCOVERY", discoveryAddress);
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve("sidecar.log").toFile());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        }

        private static String runCommand(Path root) throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                    .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("the deploy file has no run");
            }
            return run.group(1);
        }

        boolean awaitReady(double ms) {
            double until = nowMs() + ms;
            while (nowMs() < until && process.isAlive()) {
                try (Socket socket = connect(port)) {
                    socket.getOutputStream().write(ascii("GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"));
                    Message answer = read(socket.getInputStream());
                    if (answer != null && answer.status() == 200) {
                        return true;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                sleep(50);
            }
            return false;
        }

        /** Makes an operator's call; returns the status. */
        int call(String path, String body) throws IOException {
            try (Socket socket = connect(adminPort)) {
                socket.getOutputStream()
                        .write(ascii("POST " + path + " HTTP/1.1\r\nHost: admin\r\nContent-Length: " + body.length()
                                + "\r\n\r\n" + body));
                return read(socket.getInputStream()).status();
            }
        }

        void end(Record record) throws IOException, InterruptedException {
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
            for (String line : Files.readAllLines(folder.resolve("sidecar.log"))) {
                record.line("log of the sidecar: %s", line);
            }
        }
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(60_000);
        socket.connect(new InetSocketAddress(HOST, port), 5000);
        return socket;
    }

    private static final AtomicInteger IDS = new AtomicInteger();

    static String newId() {
        return String.format("r%06d", IDS.incrementAndGet());
    }

    /** The head of a client's request; further header lines come in {@code more}. */
    static byte[] head(String method, String id, String requestClass, int deadlineMs, String more) {
        return ascii(method + " /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + more + "\r\n");
    }

    /** Settings as in the example of the wire page, with one zone and these classes and limits, lists on request. */
    static String settings(String classes, double dialTimeoutMs, boolean cancel) {
        return "{\"azs\":[\"a\"],\"models\":[\"m1\"],\"classes\":[" + classes + "],\"family\":\"chain\","
                + "\"layers\":[\"front-api\"],\"limits\":{\"cancel\":" + cancel
                + ",\"cpu-us-per-request\":10.0,\"cpu-us-per-s\":15000,\"dial-timeout-ms\":" + dialTimeoutMs
                + ",\"idle-close-ms\":15000.0,\"max-retry-after-ms\":2000.0,\"may-tell\":true,\"most-held\":20000,"
                + "\"multiplex\":1,\"parallel-tries\":true,\"probes\":false,\"retry-after\":false,\"try-limit\":5},"
                + "\"load-info\":{\"columns\":[],\"how\":\"silent\"},\"membership-mode\":\"on_request\","
                + "\"over-share-worth\":0.1,\"prices\":{},\"projects\":[],\"replicas-of-me\":2,"
                + "\"rules\":{\"answer-slack-ms\":20.0,\"ask-within-ms\":10000.0,\"cold-ms\":24000.0,"
                + "\"cold-share\":0.17,\"drain-grace-ms\":500.0,\"fall-ms\":1500.0,\"tip-multiple\":3.0},"
                + "\"slot-no\":0,\"tick-ms\":5.0,\"tier\":0,\"weight-kind\":\"silent\",\"zone\":0}";
    }

    static String requestClass(String name, String effect, int sloMs, int deadlineMs) {
        return "{\"effect\":\"" + effect + "\",\"group\":\"all\",\"hard-limit-ms\":" + deadlineMs
                + ".0,\"late-worth\":0.5,\"memory-span-ms\":6000.0,\"name\":\"" + name + "\",\"slo-ms\":" + sloMs
                + ".0,\"stream\":false,\"worth\":1.0}";
    }

    static void delete(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    static List<Endpoint> endpoints(int count, Handler handler, Record record) throws IOException {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(new Endpoint("s-" + (i + 1), handler, record));
        }
        return endpoints;
    }
}
