package martenlatch.policy.api;

/** Checks of single values; the exception names the field, the rule and the value. */
final class Checks {

    private Checks() {}

    static void requirePositive(String field, double value) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(field + " must be above 0 but is " + value);
        }
    }

    static void requireNotNegative(String field, double value) {
        if (!(value >= 0)) {
            throw new IllegalArgumentException(field + " must be 0 or more but is " + value);
        }
    }

    static void requireFinite(String field, double value) {
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(field + " must be a finite number but is " + value);
        }
    }

    static void requirePresent(String field, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(field + " must be given but is null");
        }
    }
}
