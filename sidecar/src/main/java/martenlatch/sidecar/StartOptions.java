package martenlatch.sidecar;

import java.nio.file.Path;

/**
 * What a sidecar is started with.
 *
 * @param configFile the configuration file, read at the start and at each reload
 * @param sharedFolder the folder that outlives the process and is shared with its successor, or null
 * @param gossip whether the sidecar takes part in membership among the sidecars
 */
public record StartOptions(Path configFile, Path sharedFolder, boolean gossip) {

    /** Options without a shared folder and without gossip. */
    public static StartOptions of(Path configFile) {
        return new StartOptions(configFile, null, false);
    }
}
