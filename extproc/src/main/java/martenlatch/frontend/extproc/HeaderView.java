package martenlatch.frontend.extproc;

import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import martenlatch.frontend.RequestHead;

/**
 * The headers of a message, as all fronts read them. A proxy fills in a value as text or as bytes. Names are
 * taken out once: a call is read by a dozen look-ups, and the message's own list is slow to go through.
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
        int at = find(name, 0);
        if (at < 0) {
            return null;
        }
        HeaderValue found = headers.get(at);
        return found.getRawValue().isEmpty()
                ? found.getValue()
                : found.getRawValue().toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public boolean isRepeated(String name) {
        int at = find(name, 0);
        return at >= 0 && find(name, at + 1) >= 0;
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
