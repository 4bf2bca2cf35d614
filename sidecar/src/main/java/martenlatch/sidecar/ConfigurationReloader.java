package martenlatch.sidecar;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import martenlatch.site.SiteConfig;

/** Reads the configuration file again in service, and applies all of it in one turn of the event loop, or nothing. */
final class ConfigurationReloader {

    private final Path file;
    private final CurrentConfiguration configuration;
    private final SidecarParts parts;
    private final PrintStream log;

    ConfigurationReloader(Path file, CurrentConfiguration configuration, SidecarParts parts, PrintStream log) {
        this.file = file;
        this.configuration = configuration;
        this.parts = parts;
        this.log = log;
    }

    /**
     * Reads and compares the file once, off the event loop, and drops the result: the code of a reload is loaded and
     * linked by that, which would otherwise hold up the event loop at the first reload.
     */
    static void warmUp(Path file, SiteConfig config) {
        try {
            differsInSettings(config.reload(file), config);
        } catch (IOException | RuntimeException e) {
            // The file has been changed since the start; a reload will tell what is wrong with it.
            return;
        }
    }

    private static boolean differsInSettings(SiteConfig next, SiteConfig current) {
        return !next.settings().equals(current.settings());
    }

    /** To be called on the event loop. */
    void reload() {
        try {
            SiteConfig current = configuration.get();
            SiteConfig next = current.reload(file);
            parts.applyGossipAddresses(next);
            boolean settingsChanged = differsInSettings(next, current);
            log.println("martenlatch: configuration reloaded: discovery at " + next.discovery()
                    + (settingsChanged ? ", settings changed" : ""));
            configuration.replace(next);
            parts.apply(next);
        } catch (IOException | RuntimeException e) {
            log.println("martenlatch: configuration not reloaded: " + e.getMessage());
        }
    }
}
