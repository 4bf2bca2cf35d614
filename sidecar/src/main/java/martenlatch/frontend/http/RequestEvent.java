package martenlatch.frontend.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import martenlatch.upstream.StreamedRequestBody;

/** What the input of a client's connection amounts to. */
sealed interface RequestEvent {

    /** A complete request; its body holds memory until it is answered. */
    @SuppressWarnings("ArrayRecordComponent") // the body is passed on without a copy, and requests are not compared
    record CompleteRequest(HttpRequest head, byte[] body) implements RequestEvent {}

    /** A request whose body is still being received. */
    record StreamedRequest(HttpRequest head, StreamedRequestBody body) implements RequestEvent {}

    /** The body of the streamed request is complete. */
    record BodyComplete() implements RequestEvent {}

    /** The first thing that is not a request, too large, or ambiguous: nothing is read of the connection after it. */
    record InvalidInput(HttpResponseStatus status, String reason) implements RequestEvent {}
}
