package martenlatch.sidecar;

import java.io.File;
import martenlatch.admin.AdminServer;
import martenlatch.frontend.http.Frontend;

/**
 * How the file descriptors that the process may hold are divided: one half for clients, one half for endpoints.
 *
 * @param clientConnections the largest number of client connections
 * @param endpointConnections the largest number of connections to endpoints
 */
record DescriptorBudget(int clientConnections, int endpointConnections) {

    /** Descriptors beyond those that the JVM holds from its start: warm-up, discovery, a round of accepts. */
    private static final int RESERVED = 32;
    /** Descriptors for the admin API: its connections, its listener, and the shared folder's lock and listing. */
    private static final int RESERVED_FOR_ADMIN = AdminServer.MAX_CONNECTIONS + 4;
    /** What the JVM typically holds open, where the system does not tell. */
    private static final int TYPICAL_OPEN_FILES = 32;

    private static final int MIN_CONNECTIONS = 8;

    /** Divides the descriptors that are left after those already open and those reserved. */
    static DescriptorBudget of(int descriptors, boolean hasAdminApi) {
        int reserved = RESERVED + (hasAdminApi ? RESERVED_FOR_ADMIN : 0);
        int half = Math.max(MIN_CONNECTIONS, (descriptors - openFiles() - reserved) / 2);
        return new DescriptorBudget(Math.max(MIN_CONNECTIONS, half - Frontend.OVERFLOW_CONNECTIONS), half);
    }

    private static int openFiles() {
        String[] names = new File("/proc/self/fd").list();
        return names == null ? TYPICAL_OPEN_FILES : names.length;
    }
}
