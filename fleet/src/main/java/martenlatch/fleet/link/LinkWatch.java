package martenlatch.fleet.link;

/** Hears what goes over links, on the links' own event loop. */
public interface LinkWatch {

    /** The head of a request has come into a link at its sender's end. */
    void request(String from, String to, String id);

    /** Something was passed on so long after the time that the link's conduct says, in milliseconds. */
    void late(double ms);
}
