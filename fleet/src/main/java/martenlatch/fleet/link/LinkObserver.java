package martenlatch.fleet.link;

/** Observes traffic on links. Called on the link's event loop. */
public interface LinkObserver {

    /** Called when the request id header of a request has been read from the sender. */
    void onRequest(String from, String to, String id);

    /** Called when data was forwarded {@code ms} milliseconds after the time that the link's conditions ask for. */
    void onLate(double ms);
}
