package martenlatch.fleet.link;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Extracts request ids from an HTTP/1.1 byte stream, also where a header is split between reads. */
final class RequestIds {

    private static final Pattern ID = Pattern.compile("x-request-id:[ \t]*([^\r\n]*)\r", Pattern.CASE_INSENSITIVE);
    /** Maximum length of a request id header; only this much of the previous bytes is kept for the next read. */
    private static final int MAX_HEADER_CHARS = 256;

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
        tail = text.substring(Math.max(end, text.length() - MAX_HEADER_CHARS));
    }
}
