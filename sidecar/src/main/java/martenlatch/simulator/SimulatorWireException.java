package martenlatch.simulator;

/** Input of the simulator that cannot be acted on; the message names the batch and, where known, the instance. */
public final class SimulatorWireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    SimulatorWireException(String message, Throwable cause) {
        super(message, cause);
    }
}
