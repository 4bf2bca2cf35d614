package martenlatch.policy;

/** The right to have one attempt at a time in flight at one endpoint; ordered by rank. */
final class Slot implements Comparable<Slot> {

    final EndpointState endpoint;
    final int index; // the endpoint's slots count from 0
    /** Computed from the endpoint's present ring position and cost; lower is used first. */
    double rank;

    boolean busy;
    boolean connected; // an attempt was answered on it and no connection was lost since: one is established
    boolean discarded; // has left the pool, perhaps with an attempt still in flight

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
