package martenlatch.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import martenlatch.config.Fields;
import martenlatch.config.SettingsReader;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/**
 * What operators may ask of a running sidecar, whatever protocol brings the call. Calls, lists and what the
 * shared folder shows come in on the thread that owns the sidecar's state.
 */
public final class Operations implements Keeper.Watcher {

    /** A call whose change the disk has not taken by then is answered without waiting on: within a second. */
    private static final int KEEP_MS = 600;

    private static final JsonFactory JSON = new JsonFactory();

    /** The sidecar as its operators see it. */
    public interface Service {
        /** Whether clients can be served here. */
        boolean ready();

        /** Sends its clients away, or takes clients again; to do so again is no error. */
        void drain(boolean away);

        /** What is believed of the other sidecars, as JSON; null where they say nothing to each other. */
        String peers();

        /** Nothing new goes to these endpoints from now on, and to no others out by hand. */
        void disabled(Set<String> endpoints);
    }

    /** An answer: an HTTP status and a body in JSON. */
    record Reply(int status, String json) {
        static Reply no(int status, String why) {
            return new Reply(status, "{\"error\":\"" + escaped(why) + "\"}");
        }

        private static String escaped(String text) {
            return new String(JsonStringEncoder.getInstance().quoteAsString(text));
        }
    }

    private final Scheduler time;
    private final RateLimitedLogger complaints;
    private final Service service;
    private final DisabledEndpoints endpoints = new DisabledEndpoints();
    private SharedFolder folder;
    private Keeper keeper;

    /** Operations of a sidecar that keep nothing yet. */
    public Operations(Scheduler time, RateLimitedLogger complaints, Service service) {
        this.time = time;
        this.complaints = complaints;
        this.service = service;
    }

    /**
     * Shares what is decided with other processes of the same sidecar, and takes over what they have left;
     * to be called before the sidecar serves. Where the folder can't be used the sidecar goes on alone.
     *
     * @param parent where the folder is made; null where there is none that processes share
     */
    public void share(Path parent, String sidecar, Executor owner) {
        if (parent == null) {
            complaints.info("no TMPDIR is set: endpoints out by hand are forgotten when this process ends");
            return;
        }
        try {
            folder = new SharedFolder(parent, sidecar);
            shown(folder.out(), 0);
            keeper = new Keeper(folder, owner, this);
            if (!endpoints.out().isEmpty()) {
                complaints.info("out by hand since before this start: " + endpoints.out());
            }
        } catch (IOException e) {
            folder = null;
            complaints.info("what operators decide is not kept: " + e);
        }
    }

    /**
     * This process serves from here on. It waits for the disk, as {@link #leave} does: not for the event
     * loop.
     */
    public void serving() {
        if (folder != null) {
            try {
                folder.serve();
            } catch (IOException e) {
                complaints.info("others can't see that this process serves: " + e);
            }
        }
    }

    /** Whether another process of the same sidecar serves. */
    public boolean othersServe() {
        try {
            return folder != null && folder.othersServe();
        } catch (IOException e) {
            complaints.info("whether another process serves can't be seen: " + e);
            return false;
        }
    }

    /** This process serves no more; true if another one of the same sidecar does. */
    public boolean leave() {
        boolean others = othersServe();
        if (folder != null) {
            try {
                folder.leave();
            } catch (IOException e) {
                complaints.info("others may take this process for one that serves: " + e);
            }
        }
        return others;
    }

    /** Ends the work on the shared folder. */
    public void close() {
        if (keeper != null) {
            keeper.close();
        }
    }

    /** A list of endpoints has come. */
    public void listed(EndpointList list) {
        endpoints.listed(list.full(), list.endpoints());
    }

    @Override
    public void shown(Set<String> out, long upTo) {
        if (endpoints.shown(out, upTo)) {
            complaints.info("out by hand: " + endpoints.out());
            service.disabled(Set.copyOf(endpoints.out()));
        }
    }

    @Override
    public void broken(IOException why) {
        complaints.log("what operators decide can't be read", why);
    }

    /** Carries out a call; the answer comes once, perhaps before this returns. */
    void call(String method, String path, byte[] body, Consumer<Reply> answer) {
        boolean get = path.equals("/ready") || path.equals("/peers");
        switch (path) {
            case "/ready", "/peers", "/drain", "/undrain", "/endpoints/disable", "/endpoints/enable" -> {
                if (!method.equals(get ? "GET" : "POST")) {
                    answer.accept(Reply.no(405, path + " takes " + (get ? "GET" : "POST") + " only"));
                    return;
                }
            }
            default -> {
                answer.accept(Reply.no(404, "unknown path: " + path));
                return;
            }
        }
        switch (path) {
            case "/ready" -> answer.accept(state(service.ready() ? 200 : 503));
            case "/peers" -> {
                String peers = service.peers();
                answer.accept(peers == null ? Reply.no(404, "started without --peers") : new Reply(200, peers));
            }
            case "/drain", "/undrain" -> {
                service.drain(path.equals("/drain"));
                complaints.info("by hand: " + path);
                answer.accept(state(200));
            }
            default -> set(path.equals("/endpoints/disable"), body, answer);
        }
    }

    private Reply state(int status) {
        StringBuilder json = new StringBuilder("{\"ready\":" + service.ready() + ",\"disabled\":[");
        String comma = "";
        for (String id : endpoints.out()) {
            json.append(comma).append('"').append(Reply.escaped(id)).append('"');
            comma = ",";
        }
        return new Reply(status, json.append("]}").toString());
    }

    private void set(boolean out, byte[] body, Consumer<Reply> answer) {
        String id;
        try {
            id = name(body);
        } catch (IOException | IllegalArgumentException e) {
            String why = e instanceof JsonProcessingException json ? json.getOriginalMessage() : e.getMessage();
            answer.accept(Reply.no(400, "the body must be {\"name\":\"ID\"}: " + why));
            return;
        }
        switch (endpoints.set(id, out)) {
            case UNKNOWN -> answer.accept(Reply.no(404, "no list has named an endpoint " + id));
            case FULL -> answer.accept(Reply.no(503, DisabledEndpoints.MOST_OUT + " endpoints are out already"));
            default -> {
                complaints.info("by hand: endpoint " + id + (out ? " is out" : " is put back"));
                service.disabled(Set.copyOf(endpoints.out()));
                keep(id, out, answer);
            }
        }
    }

    /** Says yes once the change is kept too; what is not kept is told, but holds in this process. */
    private void keep(String id, boolean out, Consumer<Reply> answer) {
        if (keeper == null) {
            answer.accept(state(200));
            return;
        }
        long number = endpoints.latest();
        boolean[] answered = {false};
        Scheduler.Timer late = time.after(KEEP_MS, () -> {
            answered[0] = true;
            answer.accept(Reply.no(503, "it holds in this process, but is not kept yet: the disk is slow"));
        });
        keeper.keep(id, out, number, wrong -> {
            late.cancel();
            if (wrong != null) {
                endpoints.notKept(id, number);
                complaints.log("a call by hand is not kept", wrong);
            }
            if (!answered[0]) {
                answer.accept(
                        wrong == null
                                ? state(200)
                                : Reply.no(500, "it holds in this process, but could not be kept: " + wrong));
            }
        });
    }

    private static String name(byte[] body) throws IOException {
        try (JsonParser in = JSON.createParser(body)) {
            if (in.nextToken() == null || !(SettingsReader.value(in) instanceof Map<?, ?> call)) {
                throw new IOException("it is no object");
            }
            if (call.get("name") instanceof String id && !id.isEmpty()) {
                return id;
            }
            throw Fields.bad("name", call.get("name"));
        }
    }
}
