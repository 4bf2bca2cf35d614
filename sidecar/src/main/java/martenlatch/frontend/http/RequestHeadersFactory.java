package martenlatch.frontend.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import martenlatch.frontend.http.RequestHeaders.MemoryReclaimer;
import martenlatch.net.MemoryBudget;

/** Creates the headers of the requests on one connection, and owns those of the head that is being received. */
final class RequestHeadersFactory implements HttpHeadersFactory {

    private final MemoryBudget memory;
    private final MemoryReclaimer reclaimer;
    /** The headers that the decoder fills, or null. */
    private RequestHeaders incomplete;

    RequestHeadersFactory(MemoryBudget memory, MemoryReclaimer reclaimer) {
        this.memory = memory;
        this.reclaimer = reclaimer;
    }

    @Override
    public HttpHeaders newHeaders() {
        releaseIncomplete();
        incomplete = new RequestHeaders(memory, reclaimer);
        return incomplete;
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return newHeaders();
    }

    /** Hands the headers over to the complete request, which has to release them; returns null if there are none. */
    RequestHeaders takeComplete() {
        RequestHeaders complete = incomplete;
        incomplete = null;
        return complete;
    }

    /** Returns whether a head is being received. */
    boolean hasIncomplete() {
        return incomplete != null;
    }

    /** Returns the memory held by the head that is being received, in bytes. */
    int incompleteBytes() {
        return incomplete == null ? 0 : incomplete.reservedBytes();
    }

    /** Releases the memory of the head that is being received. */
    void releaseIncomplete() {
        if (incomplete != null) {
            incomplete.release();
            incomplete = null;
        }
    }
}
