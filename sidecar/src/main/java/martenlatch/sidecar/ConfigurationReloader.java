package martenlatch.sidecar;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import martenlatch.site.SiteConfig;

/** Reloads the configuration file and applies it atomically, within a single event loop task: all of it or nothing. */
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
     * Reads the file and compares it with the given configuration, then discards the result. This runs off the event
     * loop and loads and links the classes that a reload needs, which would otherwise block the event loop during the
     * first reload.
     */
    static void warmUp(Path file, SiteConfig config) {
        try {
            differsInSettings(config.reload(file), config);
        } catch (IOException | RuntimeException e) {
            // The file has changed since start-up; a reload logs what is wrong with it.
            return;
        }
    }

    private static boolean differsInSettings(SiteConfig next, SiteConfig current) {
        return !next.settings().equals(current.settings());
    }

    /**
     * Reads the configuration file and applies it; an unusable file is logged and changes nothing. Must be called on
     * the event loop.
     */
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
