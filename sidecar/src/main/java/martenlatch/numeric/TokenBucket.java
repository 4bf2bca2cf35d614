package martenlatch.numeric;

/** A token bucket: tokens are added at a constant rate up to a capacity, and taken one at a time. */
public final class TokenBucket {

    private final double tokensPerMs;
    private final double capacity;
    private double tokens;
    /** The time when tokens were last added, in milliseconds; 0 before the first time. */
    private double refilledAtMs;

    /** Creates a full bucket. */
    public TokenBucket(double tokensPerMs, double capacity) {
        this.tokensPerMs = tokensPerMs;
        this.capacity = capacity;
    }

    /** Takes one token if there is one and returns whether it did; {@code nowMs} must not decrease. */
    public boolean tryTake(double nowMs) {
        tokens = refilledAtMs == 0 ? capacity : Math.min(capacity, tokens + tokensPerMs * (nowMs - refilledAtMs));
        refilledAtMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
