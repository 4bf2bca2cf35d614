package martenlatch.frontend.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import martenlatch.upstream.StreamedRequestBody;

/** An event decoded from the input of a client connection. */
sealed interface RequestEvent {

    /** A complete request; its head and its body hold reserved memory until the response is ready. */
    @SuppressWarnings("ArrayRecordComponent") // the body is passed on without a copy, and events are not compared
    record CompleteRequest(HttpRequest head, RequestHeaders headMemory, byte[] body) implements RequestEvent {}

    /** The head, with its reserved memory, of a request whose body is still being received and is streamed. */
    record StreamedRequest(HttpRequest head, RequestHeaders headMemory, StreamedRequestBody body)
            implements RequestEvent {}

    /** The completion of the body of the last streamed request. */
    record BodyComplete() implements RequestEvent {}

    /** Input that is malformed, too large, ambiguous or too slow; nothing after it is read from the connection. */
    record InvalidInput(HttpResponseStatus status, String reason) implements RequestEvent {}
}
