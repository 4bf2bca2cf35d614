package martenlatch.frontend.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Iterator;
import martenlatch.frontend.RequestHead;

/** The head of an HTTP/1.1 request. */
record HttpRequestHead(HttpRequest request) implements RequestHead {

    @Override
    public String method() {
        return request.method().name();
    }

    @Override
    public String first(String name) {
        return request.headers().get(name);
    }

    @Override
    public boolean isRepeated(String name) {
        Iterator<String> values = request.headers().valueStringIterator(name);
        if (!values.hasNext()) {
            return false;
        }
        values.next();
        return values.hasNext();
    }
}
