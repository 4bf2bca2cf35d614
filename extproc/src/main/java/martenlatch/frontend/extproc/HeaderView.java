package martenlatch.frontend.extproc;

import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import martenlatch.frontend.RequestHead;

/**
 * Adapts the headers of a protobuf message to {@link RequestHead}. A proxy sends a value as text or as bytes. The names
 * are copied once, because each request needs about a dozen look-ups and iterating the message's own list is slow.
 */
final class HeaderView implements RequestHead {

    private final List<HeaderValue> headers;
    private final String[] names;

    HeaderView(HttpHeaders message) {
        headers = message.getHeaders().getHeadersList();
        names = new String[headers.size()];
        for (int i = 0; i < names.length; i++) {
            names[i] = headers.get(i).getKey();
        }
    }

    @Override
    public String method() {
        return first(":method");
    }

    @Override
    public String first(String name) {
        int index = find(name, 0);
        if (index < 0) {
            return null;
        }
        HeaderValue found = headers.get(index);
        return found.getRawValue().isEmpty()
                ? found.getValue()
                : found.getRawValue().toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public boolean isRepeated(String name) {
        int index = find(name, 0);
        return index >= 0 && find(name, index + 1) >= 0;
    }

    private int find(String name, int from) {
        for (int i = from; i < names.length; i++) {
            if (names[i].equalsIgnoreCase(name)) {
                return i;
            }
        }
        return -1;
    }
}
