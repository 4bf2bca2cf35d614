package martenlatch.config;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which fields an object holds, by path ({@code settings.classes[].name}). A list of objects holds the
 * fields that each of them has. With it a file can be told from a part of one: whatever stood in the file
 * before must stand in the next.
 */
public final class Shape {

    private Shape() {}

    /** The paths of all fields, of objects within objects too. */
    public static Set<String> of(Map<?, ?> object) {
        Set<String> paths = new TreeSet<>();
        add("", object, paths);
        return paths;
    }

    private static void add(String before, Map<?, ?> object, Set<String> paths) {
        object.forEach((name, value) -> {
            String path = before + name;
            paths.add(path);
            if (value instanceof Map<?, ?> inner) {
                add(path + ".", inner, paths);
            } else if (value instanceof List<?> list) {
                paths.addAll(common(path + "[].", list));
            }
        });
    }

    private static Set<String> common(String before, List<?> list) {
        Set<String> common = null;
        for (Object element : list) {
            Set<String> own = new TreeSet<>();
            if (element instanceof Map<?, ?> object) {
                add(before, object, own);
            }
            if (common == null) {
                common = own;
            } else {
                common.retainAll(own);
            }
        }
        return common == null ? Set.of() : common;
    }

    /** Throws, with the field's name, where a field of {@code before} is not among those of {@code next}. */
    public static void check(Set<String> before, Set<String> next) {
        for (String path : before) {
            // A list with nothing in it has lost no field.
            int element = path.lastIndexOf("[].");
            boolean empty =
                    element >= 0 && next.stream().noneMatch(field -> field.startsWith(path.substring(0, element + 3)));
            if (!empty && !next.contains(path)) {
                throw Fields.bad(path, null);
            }
        }
    }
}
