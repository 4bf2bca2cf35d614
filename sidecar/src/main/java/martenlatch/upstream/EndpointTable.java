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

/** Indexes the endpoints of the endpoint lists by id and by address. */
final class EndpointTable {

    private final Map<String, PooledEndpoint> endpoints = new HashMap<>();
    /** The endpoint at each address, so that a list of ten thousand entries needs no linear search per entry. */
    private final Map<InetSocketAddress, PooledEndpoint> byAddress = new HashMap<>();
    /** The attempts that wait for connections to endpoints that no longer accept new requests. */
    private final List<EndpointAttempt> attemptsToWithdraw = new ArrayList<>();
    /** The ids of the endpoints that operators have disabled. */
    private Set<String> disabled = Set.of();
    /** Whether anything new may be written to any endpoint. */
    private boolean forwardingAllowed = true;

    /** Returns the endpoint with this id, or null. */
    PooledEndpoint find(String id) {
        return endpoints.get(id);
    }

    int size() {
        return endpoints.size();
    }

    int addressCount() {
        return byAddress.size();
    }

    /** Applies an endpoint list and drops the connections to processes and addresses that no longer exist. */
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
        Set<String> listedIds = new HashSet<>();
        list.entries().forEach(entry -> listedIds.add(entry.endpoint().id()));
        for (String id : List.copyOf(endpoints.keySet())) {
            if (!listedIds.contains(id)) {
                remove(id);
            }
        }
    }

    private void update(EndpointList.Entry entry) {
        PooledEndpoint endpoint = endpoints.computeIfAbsent(entry.endpoint().id(), id -> new PooledEndpoint());
        double startedMs = entry.endpoint().startedMs();
        if (!entry.address().equals(endpoint.address) || startedMs != endpoint.startedMs) {
            invalidateConnections(endpoint);
            releaseAddress(endpoint);
        }
        endpoint.address = entry.address();
        endpoint.startedMs = startedMs;
        claimAddress(endpoint);
        endpoint.ready = entry.endpoint().status() == EndpointStatus.READY;
        endpoint.suspended = !forwardingAllowed;
        setDisabled(endpoint, disabled.contains(entry.endpoint().id()));
    }

    /** Replaces the set of endpoints that operators have disabled. */
    void setDisabled(Set<String> endpointIds) {
        disabled = Set.copyOf(endpointIds);
        endpoints.forEach((id, endpoint) -> setDisabled(endpoint, disabled.contains(id)));
    }

    /** Sets whether anything new may be written to any endpoint. */
    void setForwardingAllowed(boolean allowed) {
        forwardingAllowed = allowed;
        for (PooledEndpoint endpoint : endpoints.values()) {
            endpoint.suspended = !allowed;
            if (!allowed) {
                queueAttemptsForWithdrawal(endpoint);
            }
        }
    }

    private void setDisabled(PooledEndpoint endpoint, boolean isDisabled) {
        endpoint.disabled = isDisabled;
        if (!endpoint.ready || isDisabled) {
            queueAttemptsForWithdrawal(endpoint);
        }
    }

    private void remove(String id) {
        PooledEndpoint removed = endpoints.remove(id);
        if (removed != null) {
            removed.ready = false;
            invalidateConnections(removed);
            releaseAddress(removed);
        }
    }

    /** Closes the idle connections of an endpoint and ensures that the busy ones are not reused. */
    private void invalidateConnections(PooledEndpoint endpoint) {
        endpoint.generation++;
        queueAttemptsForWithdrawal(endpoint);
        endpoint.closeIdleConnections();
    }

    private void queueAttemptsForWithdrawal(PooledEndpoint endpoint) {
        endpoint.connecting.forEach(connection -> attemptsToWithdraw.add(connection.attempt()));
    }

    /**
     * Withdraws the attempts that wait for connections to endpoints that no longer accept new requests. An attempt
     * counts as sent from its first byte on, so an attempt that was decided before the endpoint list arrived must not
     * start after it.
     */
    void withdrawQueuedAttempts() {
        List<EndpointAttempt> withdrawn = List.copyOf(attemptsToWithdraw);
        attemptsToWithdraw.clear();
        withdrawn.forEach(EndpointAttempt::withdrawAndNotify);
    }

    private void releaseAddress(PooledEndpoint endpoint) {
        if (endpoint.address != null) {
            byAddress.remove(endpoint.address, endpoint);
        }
    }

    /**
     * Registers the address of an endpoint. Only one process can listen at an address, so if two endpoints have the
     * same address, the process that was started earlier no longer exists.
     */
    private void claimAddress(PooledEndpoint claimant) {
        PooledEndpoint other = byAddress.putIfAbsent(claimant.address, claimant);
        if (other == null || other == claimant) {
            return;
        }
        PooledEndpoint stale = claimant.startedMs < other.startedMs ? claimant : other;
        if (stale == other) {
            byAddress.put(claimant.address, claimant);
        }
        invalidateConnections(stale);
        stale.address = null;
    }

    void closeAllIdleConnections() {
        endpoints.values().forEach(PooledEndpoint::closeIdleConnections);
    }
}
