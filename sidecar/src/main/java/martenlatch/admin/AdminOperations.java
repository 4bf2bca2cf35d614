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
 * The operations that operators can call on a running sidecar, independent of the protocol. A <i>call</i> is one
 * invocation by an operator, in contrast to a client's request. Calls, endpoint lists and the content of the shared
 * folder arrive on the thread that owns the sidecar's state.
 */
public final class AdminOperations implements SharedFolderWorker.Listener {

    /**
     * Operators wait 1 s for a response, so a call whose change is not stored within this time gets an error response.
     */
    private static final int STORE_TIMEOUT_MS = 600;

    private static final JsonFactory JSON = new JsonFactory();

    /** The functions of the sidecar that operators control. */
    public interface Service {
        /** Returns whether the sidecar is ready to serve clients. */
        boolean isReady();

        /** Starts draining clients, or accepts clients again; repeating a call has no effect. */
        void setDraining(boolean draining);

        /** Returns the gossip membership view as JSON, or null if gossip is disabled. */
        String gossipView();

        /** Returns the state of the endpoint list in use. */
        EndpointListState endpointListState();

        /** Forwards requests by the list in use until discovery confirms it; does nothing if it is confirmed. */
        void trustEndpointList();

        /** Replaces the set of endpoints disabled by operators; no new requests are sent to them. */
        void disableEndpoints(Set<String> endpointIds);
    }

    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final Service service;
    private final DisabledEndpoints disabledEndpoints = new DisabledEndpoints();
    /** The shared folder; like its worker, it is null if changes are not stored. */
    private SharedFolder folder;

    private SharedFolderWorker worker;

    /** Creates operations whose changes are not stored until {@link #openSharedFolder} is called. */
    public AdminOperations(Scheduler scheduler, RateLimitedLogger logger, Service service) {
        this.scheduler = scheduler;
        this.logger = logger;
        this.service = service;
    }

    /**
     * Opens the folder through which the processes of one sidecar share the disabled endpoints, and applies those that
     * are stored in it. Must be called before the sidecar serves. If the folder cannot be used, the sidecar runs
     * without it.
     *
     * @param parent the directory in which the folder is created, or null if there is no shared directory
     * @param sidecar the sidecar's name
     * @param owner runs tasks on the thread that owns the sidecar's state
     */
    public void openSharedFolder(Path parent, String sidecar, Executor owner) {
        if (parent == null) {
            logger.info("no TMPDIR is set: disabled endpoints are forgotten when this process ends");
            return;
        }
        try {
            folder = new SharedFolder(parent, sidecar);
            onFolderRead(folder.disabledIds(), 0);
            worker = new SharedFolderWorker(folder, owner, this);
            if (!disabledEndpoints.ids().isEmpty()) {
                logger.info("endpoints disabled before this start: " + disabledEndpoints.ids());
            }
        } catch (IOException e) {
            folder = null;
            logger.info("operators' decisions are not stored: " + e);
        }
    }

    /** Marks this process as serving in the shared folder. Blocks on disk I/O, as {@link #announceLeaving} does. */
    public void announceServing() {
        if (folder != null) {
            try {
                folder.markServing();
            } catch (IOException e) {
                logger.info("other processes cannot see that this one serves: " + e);
            }
        }
    }

    /** Returns whether another process of the same sidecar serves. */
    public boolean isAnotherProcessServing() {
        try {
            return folder != null && folder.isAnotherProcessServing();
        } catch (IOException e) {
            logger.info("cannot see whether another process serves: " + e);
            return false;
        }
    }

    /** Removes the mark that this process serves; returns whether another process of the same sidecar serves. */
    public boolean announceLeaving() {
        boolean anotherServes = isAnotherProcessServing();
        if (folder != null) {
            try {
                folder.unmarkServing();
            } catch (IOException e) {
                logger.info("other processes may believe that this one serves: " + e);
            }
        }
        return anotherServes;
    }

    /** Stops reading and writing the shared folder. */
    public void close() {
        if (worker != null) {
            worker.close();
        }
    }

    /** Called when an endpoint list has been received. */
    public void onEndpointList(EndpointList list) {
        disabledEndpoints.onEndpointList(list.full(), list.endpoints());
    }

    @Override
    public void onFolderRead(Set<String> disabledIds, long lastWrittenChange) {
        if (disabledEndpoints.onFolderRead(disabledIds, lastWrittenChange)) {
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

    /** Executes a call; {@code respond} is invoked exactly once, possibly before this method returns. */
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
            case "/list" -> respond.accept(listState());
            case "/list/trust" -> {
                service.trustEndpointList();
                logger.info("operator: " + path);
                respond.accept(listState());
            }
            case "/drain", "/undrain" -> {
                service.setDraining(path.equals("/drain"));
                logger.info("operator: " + path);
                respond.accept(state(200));
            }
            default -> setDisabled(path.equals("/endpoints/disable"), body, respond);
        }
    }

    /** Returns the HTTP method that a path accepts, or null for an unknown path. */
    private static String allowedMethod(String path) {
        return switch (path) {
            case "/ready", "/peers", "/list" -> "GET";
            case "/list/trust", "/drain", "/undrain", "/endpoints/disable", "/endpoints/enable" -> "POST";
            default -> null;
        };
    }

    private AdminResponse gossipView() {
        String view = service.gossipView();
        return view == null ? AdminResponse.error(404, "started without --peers") : new AdminResponse(200, view);
    }

    private AdminResponse listState() {
        return new AdminResponse(200, service.endpointListState().toJson());
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

    /**
     * Stores a change and responds once that is done. A change that cannot be stored is reported as an error, but
     * remains in effect in this process.
     */
    private void store(String id, boolean disabled, Consumer<AdminResponse> respond) {
        if (worker == null) {
            respond.accept(state(200));
            return;
        }
        long changeNumber = disabledEndpoints.latestChangeNumber();
        PendingChange change = new PendingChange(id, changeNumber, respond);
        change.timer = scheduler.after(STORE_TIMEOUT_MS, change::onTimeout);
        worker.store(id, disabled, changeNumber, change::onDone);
    }

    /** A change that is being stored, and the call that waits for it. */
    private final class PendingChange {
        private final String id;
        private final long number;
        private final Consumer<AdminResponse> respond;
        private Scheduler.Timer timer;
        private boolean responded;

        PendingChange(String id, long number, Consumer<AdminResponse> respond) {
            this.id = id;
            this.number = number;
            this.respond = respond;
        }

        private void onTimeout() {
            responded = true;
            respond.accept(AdminResponse.error(503, "it holds in this process, but is not kept yet: the disk is slow"));
        }

        private void onDone(IOException failure) {
            timer.cancel();
            if (failure != null) {
                disabledEndpoints.onStoreFailed(id, number);
                logger.log("an operator's decision is not stored", failure);
            }
            if (!responded) {
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
