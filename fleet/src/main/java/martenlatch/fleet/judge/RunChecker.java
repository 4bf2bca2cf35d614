package martenlatch.fleet.judge;

import java.util.List;

/** Checks a finished run for violations of one rule. */
public interface RunChecker {

    /** Returns the name of this check in findings. */
    String name();

    /** Returns all violations in the run, ordered by time. */
    List<Finding> check(RunRecord run);
}
