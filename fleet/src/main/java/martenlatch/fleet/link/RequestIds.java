package martenlatch.fleet.link;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the ids of requests in a stream of HTTP/1.1, wherever its parts are cut. */
final class RequestIds {

    private static final Pattern ID = Pattern.compile("x-request-id:[ \t]*([^\r\n]*)\r", Pattern.CASE_INSENSITIVE);
    /** No header of an id is longer: what stands further back holds no part of one. */
    private static final int LONGEST = 256;

    private final Consumer<String> found;
    private String tail = "";

    RequestIds(Consumer<String> found) {
        this.found = found;
    }

    void read(ByteBuf bytes) {
        String text = tail + bytes.toString(StandardCharsets.ISO_8859_1);
        Matcher matcher = ID.matcher(text);
        int end = 0;
        while (matcher.find()) {
            found.accept(matcher.group(1).trim());
            end = matcher.end();
        }
        tail = text.substring(Math.max(end, text.length() - LONGEST));
    }
}
