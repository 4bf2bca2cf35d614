package martenlatch.frontend;

/** The head of a request, independent of the protocol; header names are case-insensitive. */
public interface RequestHead {

    /** Returns the HTTP method. */
    String method();

    /** Returns the first value of a header, or null if it is missing. */
    String first(String name);

    /** Returns whether a header occurs more than once. */
    boolean isRepeated(String name);
}
