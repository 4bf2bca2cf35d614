package martenlatch.fleet.launch;

import com.sun.jna.Library;
import com.sun.jna.Native;

/** Signals to processes, without a process for each. */
final class Signals {

    /** The numbers that Linux gives them (signal(7)). */
    static final int HUP = 1;

    static final int TERM = 15;
    static final int CONT = 18;
    static final int STOP = 19;

    /** What is used of the C library. */
    interface LibC extends Library {
        int kill(int pid, int signal);
    }

    private static final LibC C = Native.load("c", LibC.class);

    private Signals() {}

    /** Whether the signal could be sent. */
    static boolean send(long pid, int signal) {
        return C.kill((int) pid, signal) == 0;
    }
}
