package martenlatch.frontend;

/** The head of a request, in whatever protocol it came; header names are matched without regard to case. */
public interface RequestHead {

    /** The name of the method. */
    String method();

    /** The first value of a header, or null. */
    String first(String name);

    /** Whether a header occurs more than once. */
    boolean isRepeated(String name);
}
