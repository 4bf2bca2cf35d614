package martenlatch.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import martenlatch.config.ConfigurationException;
import martenlatch.config.JsonValues;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/**
 * What operators may ask of a running sidecar, in whatever protocol. Calls, endpoint lists and what the shared folder
 * shows arrive on the thread that owns the sidecar's state.
 */
public final class AdminOperations implements SharedFolderWorker.Listener {

    /** A call whose change is not stored by then is answered without waiting on: operators wait for a second. */
    private static final int STORE_TIMEOUT_MS = 600;

    private static final JsonFactory JSON = new JsonFactory();

    /** The sidecar as its operators see it. */
    public interface Service {
        /** Whether clients can be served here. */
        boolean isReady();

        /** Sends the clients away, or takes clients again; to repeat that is no error. */
        void goAway(boolean away);

        /** The view of the other sidecars as JSON, or null where gossip is off. */
        String gossipView();

        /** From now on nothing new is sent to these endpoints, and to no others disabled by hand. */
        void disableEndpoints(Set<String> endpointIds);
    }

    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final Service service;
    private final DisabledEndpoints disabledEndpoints = new DisabledEndpoints();
    /** Null where nothing is stored. */
    private SharedFolder folder;

    private SharedFolderWorker worker;

    /** Creates operations that store nothing yet. */
    public AdminOperations(Scheduler scheduler, RateLimitedLogger logger, Service service) {
        this.scheduler = scheduler;
        this.logger = logger;
        this.service = service;
    }

    /**
     * Shares what operators decide with other processes of the same sidecar, and takes over what they have stored; to
     * be called before the sidecar serves. Where the folder cannot be used the sidecar goes on alone.
     *
     * @param parent where the folder is created; null where there is none that processes share
     * @param sidecar the sidecar's name
     * @param owner runs tasks on the thread that owns the sidecar's state
     */
    public void share(Path parent, String sidecar, Executor owner) {
        if (parent == null) {
            logger.info("no TMPDIR is set: disabled endpoints are forgotten when this process ends");
            return;
        }
        try {
            folder = new SharedFolder(parent, sidecar);
            onStored(folder.disabledIds(), 0);
            worker = new SharedFolderWorker(folder, owner, this);
            if (!disabledEndpoints.ids().isEmpty()) {
                logger.info("endpoints disabled before this start: " + disabledEndpoints.ids());
            }
        } catch (IOException e) {
            folder = null;
            logger.info("operators' decisions are not stored: " + e);
        }
    }

    /** This process serves from here on. It waits for the disk, as {@link #announceLeaving} does. */
    public void announceServing() {
        if (folder != null) {
            try {
                folder.markServing();
            } catch (IOException e) {
                logger.info("other processes cannot see that this one serves: " + e);
            }
        }
    }

    /** Whether another process of the same sidecar serves. */
    public boolean othersServe() {
        try {
            return folder != null && folder.othersServe();
        } catch (IOException e) {
            logger.info("cannot see whether another process serves: " + e);
            return false;
        }
    }

    /** This process does not serve any more; true if another one of the same sidecar does. */
    public boolean announceLeaving() {
        boolean others = othersServe();
        if (folder != null) {
            try {
                folder.unmarkServing();
            } catch (IOException e) {
                logger.info("other processes may believe that this one serves: " + e);
            }
        }
        return others;
    }

    /** Ends the work on the shared folder. */
    public void close() {
        if (worker != null) {
            worker.close();
        }
    }

    /** An endpoint list has been received. */
    public void onEndpointList(EndpointList list) {
        disabledEndpoints.onEndpointList(list.full(), list.endpoints());
    }

    @Override
    public void onStored(Set<String> disabled, long upTo) {
        if (disabledEndpoints.onStored(disabled, upTo)) {
            logger.info("endpoints disabled by operators: " + disabledEndpoints.ids());
            applyDisabled();
        }
    }

    @Override
    public void onReadFailed(IOException cause) {
        logger.log("operators' decisions cannot be read", cause);
    }

    private void applyDisabled() {
        service.disableEndpoints(Set.copyOf(disabledEndpoints.ids()));
    }

    /** Carries out a call; the response is given once, perhaps before this returns. */
    void call(String method, String path, byte[] body, Consumer<AdminResponse> respond) {
        String allowedMethod = allowedMethod(path);
        if (allowedMethod == null) {
            respond.accept(AdminResponse.error(404, "unknown path: " + path));
            return;
        }
        if (!method.equals(allowedMethod)) {
            respond.accept(AdminResponse.error(405, path + " takes " + allowedMethod + " only"));
            return;
        }
        switch (path) {
            case "/ready" -> respond.accept(state(service.isReady() ? 200 : 503));
            case "/peers" -> respond.accept(gossipView());
            case "/drain", "/undrain" -> {
                service.goAway(path.equals("/drain"));
                logger.info("operator: " + path);
                respond.accept(state(200));
            }
            default -> setDisabled(path.equals("/endpoints/disable"), body, respond);
        }
    }

    /** The method that a path takes, or null for an unknown path. */
    private static String allowedMethod(String path) {
        return switch (path) {
            case "/ready", "/peers" -> "GET";
            case "/drain", "/undrain", "/endpoints/disable", "/endpoints/enable" -> "POST";
            default -> null;
        };
    }

    private AdminResponse gossipView() {
        String view = service.gossipView();
        return view == null ? AdminResponse.error(404, "started without --peers") : new AdminResponse(200, view);
    }

    private AdminResponse state(int status) {
        StringBuilder json = new StringBuilder("{\"ready\":" + service.isReady() + ",\"disabled\":[");
        String separator = "";
        for (String id : disabledEndpoints.ids()) {
            json.append(separator).append('"').append(AdminResponse.escape(id)).append('"');
            separator = ",";
        }
        return new AdminResponse(status, json.append("]}").toString());
    }

    private void setDisabled(boolean disable, byte[] body, Consumer<AdminResponse> respond) {
        String id;
        try {
            id = parseName(body);
        } catch (IOException | ConfigurationException e) {
            String reason = e instanceof JsonProcessingException json ? json.getOriginalMessage() : e.getMessage();
            respond.accept(AdminResponse.error(400, "the body must be {\"name\":\"ID\"}: " + reason));
            return;
        }
        switch (disabledEndpoints.set(id, disable)) {
            case UNKNOWN -> respond.accept(AdminResponse.error(404, "no list has named an endpoint " + id));
            case FULL ->
                respond.accept(AdminResponse.error(503, DisabledEndpoints.MAX_DISABLED + " endpoints are out already"));
            default -> {
                logger.info("operator: endpoint " + id + (disable ? " disabled" : " enabled"));
                applyDisabled();
                store(id, disable, respond);
            }
        }
    }

    /** Responds once the change is stored; a change that cannot be stored is reported, but holds in this process. */
    private void store(String id, boolean disabled, Consumer<AdminResponse> respond) {
        if (worker == null) {
            respond.accept(state(200));
            return;
        }
        long changeNumber = disabledEndpoints.latestChange();
        StoredChange change = new StoredChange(id, changeNumber, respond);
        change.timer = scheduler.after(STORE_TIMEOUT_MS, change::onTimeout);
        worker.store(id, disabled, changeNumber, change::onDone);
    }

    /** A change that is being stored, and the call that waits for it. */
    private final class StoredChange {
        private final String id;
        private final long number;
        private final Consumer<AdminResponse> respond;
        private Scheduler.Timer timer;
        private boolean answered;

        StoredChange(String id, long number, Consumer<AdminResponse> respond) {
            this.id = id;
            this.number = number;
            this.respond = respond;
        }

        private void onTimeout() {
            answered = true;
            respond.accept(AdminResponse.error(503, "it holds in this process, but is not kept yet: the disk is slow"));
        }

        private void onDone(IOException failure) {
            timer.cancel();
            if (failure != null) {
                disabledEndpoints.onNotStored(id, number);
                logger.log("an operator's decision is not stored", failure);
            }
            if (!answered) {
                respond.accept(
                        failure == null
                                ? state(200)
                                : AdminResponse.error(
                                        500, "it holds in this process, but could not be kept: " + failure));
            }
        }
    }

    private static String parseName(byte[] body) throws IOException {
        try (JsonParser parser = JSON.createParser(body)) {
            if (parser.nextToken() == null || !(JsonValues.read(parser) instanceof Map<?, ?> call)) {
                throw new IOException("it is no object");
            }
            if (call.get("name") instanceof String id && !id.isEmpty()) {
                return id;
            }
            throw ConfigurationException.unusable("name", call.get("name"));
        }
    }
}
