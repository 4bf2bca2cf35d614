package martenlatch.simulator;

/** Thrown when simulator input cannot be handled; the message names the batch and, if known, the instance. */
public final class SimulatorWireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    SimulatorWireException(String message, Throwable cause) {
        super(message, cause);
    }
}
