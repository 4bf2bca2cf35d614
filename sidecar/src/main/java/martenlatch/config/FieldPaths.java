package martenlatch.config;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The paths of the fields that an object holds, such as {@code settings.classes[].name}. A list of objects holds the
 * fields that each of them has. They tell a complete file from part of one: every field of the file before must be in
 * the next.
 */
public final class FieldPaths {

    private FieldPaths() {}

    /** The paths of all fields, of objects within objects too. */
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
     * Requires that every field of {@code before} is among those of {@code next}.
     *
     * @throws ConfigurationException for the first one that is missing
     */
    public static void requireNoneMissing(Set<String> before, Set<String> next) {
        for (String path : before) {
            // An empty list has lost no field.
            int element = path.lastIndexOf("[].");
            boolean empty =
                    element >= 0 && next.stream().noneMatch(field -> field.startsWith(path.substring(0, element + 3)));
            if (!empty && !next.contains(path)) {
                throw ConfigurationException.unusable(path, null);
            }
        }
    }
}
