package martenlatch.sidecar;

import java.nio.file.Path;
import martenlatch.discovery.EndpointListGate;

/**
 * What a sidecar is started with.
 *
 * @param configFile the configuration file, read at the start and at each reload
 * @param sharedFolder the folder that outlives the process and is shared with its successor, or null
 * @param gossip whether the sidecar takes part in membership among the sidecars
 * @param maxListWaitMs how long the start waits for a current endpoint list, in milliseconds
 */
public record StartOptions(Path configFile, Path sharedFolder, boolean gossip, long maxListWaitMs) {

    /** How long a start waits for a current endpoint list where nothing else is said, in milliseconds. */
    public static final long DEFAULT_MAX_LIST_WAIT_MS = EndpointListGate.DEFAULT_MAX_WAIT_MS;

    /** Options without a shared folder and without gossip. */
    public static StartOptions of(Path configFile) {
        return new StartOptions(configFile, null, false, DEFAULT_MAX_LIST_WAIT_MS);
    }
}
