package martenlatch.sidecar;

import java.nio.file.Path;
import martenlatch.discovery.EndpointListGate;

/**
 * The options that a sidecar is started with.
 *
 * @param configFile the configuration file, read at start-up and at each reload
 * @param sharedFolder the parent of the folder that outlives the process and is shared with its successor, or null
 * @param gossip whether the sidecar takes part in the gossip membership among the sidecars
 * @param maxListWaitMs how long start-up waits for a current endpoint list, in milliseconds
 */
public record StartOptions(Path configFile, Path sharedFolder, boolean gossip, long maxListWaitMs) {

    /** The default time that start-up waits for a current endpoint list, in milliseconds. */
    public static final long DEFAULT_MAX_LIST_WAIT_MS = EndpointListGate.DEFAULT_MAX_WAIT_MS;

    /** Returns options without a shared folder and without gossip. */
    public static StartOptions of(Path configFile) {
        return new StartOptions(configFile, null, false, DEFAULT_MAX_LIST_WAIT_MS);
    }
}
