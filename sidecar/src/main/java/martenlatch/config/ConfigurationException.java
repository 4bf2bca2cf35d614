package martenlatch.config;

/** Thrown if a field of a configuration, an endpoint list or an admin request is missing or invalid. */
public final class ConfigurationException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    private final String field;

    /**
     * Creates an exception for a field.
     *
     * @param field the path of the field, such as {@code settings.classes[].name}
     * @param message the description of the error, with the field's name and value
     */
    public ConfigurationException(String field, String message) {
        super(message);
        this.field = field;
    }

    /** Returns an exception for a field that is missing ({@code value} is null) or invalid. */
    public static ConfigurationException unusable(String field, Object value) {
        return new ConfigurationException(
                field, "field " + field + (value == null ? " is missing" : " is not usable: " + value));
    }

    /** Returns the path of the field. */
    public String field() {
        return field;
    }
}
