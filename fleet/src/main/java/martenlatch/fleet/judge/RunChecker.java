package martenlatch.fleet.judge;

import java.util.List;

/** Looks for one kind of harm in what a run has left. */
public interface RunChecker {

    /** Its name in findings. */
    String name();

    /** All that it finds, in order of time. */
    List<Finding> check(RunRecord run);
}
