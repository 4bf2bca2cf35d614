package martenlatch.config;

/** A field of a configuration, a list or a call that is missing or cannot be used. */
public final class ConfigurationException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    private final String field;

    /**
     * Creates an exception for a field.
     *
     * @param field the path of the field, such as {@code settings.classes[].name}
     * @param message what is wrong, with the field's name and value
     */
    public ConfigurationException(String field, String message) {
        super(message);
        this.field = field;
    }

    /** A field that is missing (null) or has a value that cannot be used. */
    public static ConfigurationException unusable(String field, Object value) {
        return new ConfigurationException(
                field, "field " + field + (value == null ? " is missing" : " is not usable: " + value));
    }

    /** The path of the field. */
    public String field() {
        return field;
    }
}
