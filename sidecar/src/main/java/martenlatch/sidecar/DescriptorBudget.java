package martenlatch.sidecar;

import java.io.File;
import martenlatch.admin.AdminServer;
import martenlatch.frontend.http.Frontend;

/**
 * Divides the file descriptors that the process may open: one half for clients, the other half for endpoints.
 *
 * @param clientConnections the maximum number of client connections
 * @param endpointConnections the maximum number of connections to endpoints
 */
record DescriptorBudget(int clientConnections, int endpointConnections) {

    /** Descriptors reserved for warm-up, discovery and one batch of accepted connections. */
    private static final int RESERVED_DESCRIPTORS = 32;
    /**
     * Descriptors reserved for the admin API: its connections and listener, and the shared folder's lock and listing.
     */
    private static final int RESERVED_ADMIN_DESCRIPTORS = AdminServer.MAX_CONNECTIONS + 4;
    /** The number of files that a JVM typically has open, used where the system does not report it. */
    private static final int TYPICAL_OPEN_FILES = 32;

    private static final int MIN_CONNECTIONS = 8;

    /** Divides the descriptors that remain after subtracting the open and the reserved ones. */
    static DescriptorBudget of(int descriptors, boolean hasAdminApi) {
        int reserved = RESERVED_DESCRIPTORS + (hasAdminApi ? RESERVED_ADMIN_DESCRIPTORS : 0);
        int perSide = Math.max(MIN_CONNECTIONS, (descriptors - openFiles() - reserved) / 2);
        return new DescriptorBudget(Math.max(MIN_CONNECTIONS, perSide - Frontend.OVERFLOW_CONNECTIONS), perSide);
    }

    private static int openFiles() {
        String[] names = new File("/proc/self/fd").list();
        return names == null ? TYPICAL_OPEN_FILES : names.length;
    }
}
