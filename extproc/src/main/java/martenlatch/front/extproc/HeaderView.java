package martenlatch.front.extproc;

import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import java.nio.charset.StandardCharsets;
import martenlatch.front.CallReader;

/** The headers of a message, as all fronts read them. A proxy fills in a value as text or as bytes. */
record HeaderView(HttpHeaders headers) implements CallReader.Head {

    @Override
    public String method() {
        return first(":method");
    }

    @Override
    public String first(String name) {
        for (HeaderValue header : headers.getHeaders().getHeadersList()) {
            if (header.getKey().equalsIgnoreCase(name)) {
                return header.getRawValue().isEmpty() ? header.getValue()
                    : header.getRawValue().toString(StandardCharsets.ISO_8859_1);
            }
        }
        return null;
    }

    @Override
    public boolean repeated(String name) {
        int found = 0;
        for (HeaderValue header : headers.getHeaders().getHeadersList()) {
            found += header.getKey().equalsIgnoreCase(name) ? 1 : 0;
        }
        return found > 1;
    }
}
