package martenlatch.fleet.launch;

import com.sun.jna.Library;
import com.sun.jna.Native;

/** Sends signals through the C library, without starting a process for each. */
final class Signals {

    /** Signal numbers on Linux; see signal(7). */
    static final int HUP = 1;

    static final int TERM = 15;
    static final int CONT = 18;
    static final int STOP = 19;

    /** The function that is used from the C library. */
    interface LibC extends Library {
        int kill(int pid, int signal);
    }

    private static final LibC C = Native.load("c", LibC.class);

    private Signals() {}

    /** Sends a signal and returns whether that succeeded. */
    static boolean send(long pid, int signal) {
        return C.kill((int) pid, signal) == 0;
    }
}
