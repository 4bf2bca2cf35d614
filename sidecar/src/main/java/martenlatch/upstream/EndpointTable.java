package martenlatch.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.request.EndpointList;

/** The endpoints by id and by address, as the endpoint lists tell. */
final class EndpointTable {

    private final Map<String, PooledEndpoint> endpoints = new HashMap<>();
    /** The endpoint at each address: a list of ten thousand must not be searched for every entry of it. */
    private final Map<InetSocketAddress, PooledEndpoint> byAddress = new HashMap<>();
    /** Attempts that wait for connections to endpoints that take nothing new any more. */
    private final List<EndpointAttempt> unwantedAttempts = new ArrayList<>();

    /** The endpoint with this id, or null. */
    PooledEndpoint find(String id) {
        return endpoints.get(id);
    }

    int size() {
        return endpoints.size();
    }

    int addressCount() {
        return byAddress.size();
    }

    /** Takes over a list; connections to a process or address that does not exist any more are dropped. */
    void update(EndpointList list) {
        if (list.full()) {
            removeAllBut(list);
        }
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().status() == EndpointStatus.GONE) {
                remove(entry.endpoint().id());
            } else {
                update(entry);
            }
        }
    }

    private void removeAllBut(EndpointList list) {
        Set<String> named = new HashSet<>();
        list.entries().forEach(entry -> named.add(entry.endpoint().id()));
        for (String id : List.copyOf(endpoints.keySet())) {
            if (!named.contains(id)) {
                remove(id);
            }
        }
    }

    private void update(EndpointList.Entry entry) {
        PooledEndpoint endpoint = endpoints.computeIfAbsent(entry.endpoint().id(), id -> new PooledEndpoint());
        double startedMs = entry.endpoint().startedMs();
        if (!entry.address().equals(endpoint.address) || startedMs != endpoint.startedMs) {
            retire(endpoint);
            releaseAddress(endpoint);
        }
        endpoint.address = entry.address();
        endpoint.startedMs = startedMs;
        claimAddress(endpoint);
        if (entry.endpoint().status() != EndpointStatus.READY) {
            markAttemptsUnwanted(endpoint);
        }
    }

    private void remove(String id) {
        PooledEndpoint removed = endpoints.remove(id);
        if (removed != null) {
            retire(removed);
            releaseAddress(removed);
        }
    }

    /** The connections so far are of no more use. */
    private void retire(PooledEndpoint endpoint) {
        endpoint.generation++;
        markAttemptsUnwanted(endpoint);
        endpoint.closeIdleConnections();
    }

    private void markAttemptsUnwanted(PooledEndpoint endpoint) {
        endpoint.connecting.forEach(connection -> unwantedAttempts.add(connection.attempt()));
    }

    /**
     * Ends the attempts that wait for connections to endpoints that take nothing new. An attempt counts as sent from
     * its first byte: what was decided before the list arrived must not begin after it.
     */
    void withdrawUnwantedAttempts() {
        List<EndpointAttempt> unwanted = List.copyOf(unwantedAttempts);
        unwantedAttempts.clear();
        unwanted.forEach(EndpointAttempt::withdrawAndNotify);
    }

    private void releaseAddress(PooledEndpoint endpoint) {
        if (endpoint.address != null) {
            byAddress.remove(endpoint.address, endpoint);
        }
    }

    /** There is one process at an address: the one that was started earlier does not exist any more. */
    private void claimAddress(PooledEndpoint claimant) {
        PooledEndpoint other = byAddress.putIfAbsent(claimant.address, claimant);
        if (other == null || other == claimant) {
            return;
        }
        PooledEndpoint former = claimant.startedMs < other.startedMs ? claimant : other;
        if (former == other) {
            byAddress.put(claimant.address, claimant);
        }
        retire(former);
        former.address = null;
    }

    void closeAllIdleConnections() {
        endpoints.values().forEach(PooledEndpoint::closeIdleConnections);
    }
}
