package martenlatch.config;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Collects the paths of the fields of a JSON object, such as {@code settings.classes[].name}. For a list of objects,
 * these are the fields that all of its elements have. The paths are used to detect a truncated configuration file:
 * every field of the previous file must be in the next one.
 */
public final class FieldPaths {

    private FieldPaths() {}

    /** Returns the paths of all fields, including those of nested objects. */
    public static Set<String> of(Map<?, ?> object) {
        Set<String> paths = new TreeSet<>();
        add("", object, paths);
        return paths;
    }

    private static void add(String prefix, Map<?, ?> object, Set<String> paths) {
        object.forEach((name, value) -> {
            String path = prefix + name;
            paths.add(path);
            if (value instanceof Map<?, ?> inner) {
                add(path + ".", inner, paths);
            } else if (value instanceof List<?> list) {
                paths.addAll(common(path + "[].", list));
            }
        });
    }

    private static Set<String> common(String prefix, List<?> list) {
        Set<String> common = null;
        for (Object element : list) {
            Set<String> own = new TreeSet<>();
            if (element instanceof Map<?, ?> object) {
                add(prefix, object, own);
            }
            if (common == null) {
                common = own;
            } else {
                common.retainAll(own);
            }
        }
        return common == null ? Set.of() : common;
    }

    /**
     * Checks that {@code next} contains every field of {@code before}.
     *
     * @throws ConfigurationException for the first field that is missing
     */
    public static void requireNoneMissing(Set<String> before, Set<String> next) {
        for (String path : before) {
            // A list that has become empty has no elements whose fields could be missing.
            int elementMarker = path.lastIndexOf("[].");
            boolean empty = elementMarker >= 0
                    && next.stream().noneMatch(field -> field.startsWith(path.substring(0, elementMarker + 3)));
            if (!empty && !next.contains(path)) {
                throw ConfigurationException.unusable(path, null);
            }
        }
    }
}
