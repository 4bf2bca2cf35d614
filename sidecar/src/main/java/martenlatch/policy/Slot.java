package martenlatch.policy;

/** A permit for one attempt at a time at one endpoint; ordered by rank, with ties broken by hash, id and index. */
final class Slot implements Comparable<Slot> {

    final EndpointState endpoint;
    final int index; // index among the endpoint's slots, from 0
    /** Derived from the endpoint's ring position and cost; the slot with the lowest rank is used first. */
    double rank;

    boolean busy; // an attempt that took this slot is in flight
    boolean connected; // an attempt got a response and no connection was lost since
    boolean discarded; // removed from the pool; an attempt may still be in flight

    Slot(EndpointState endpoint, int index) {
        this.endpoint = endpoint;
        this.index = index;
    }

    @Override
    public int compareTo(Slot other) {
        int order = Double.compare(rank, other.rank);
        order = order != 0 ? order : Long.compare(endpoint.hash, other.endpoint.hash);
        order = order != 0 ? order : endpoint.id.compareTo(other.endpoint.id);
        return order != 0 ? order : Integer.compare(index, other.index);
    }
}
