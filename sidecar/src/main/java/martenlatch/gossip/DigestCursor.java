package martenlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import martenlatch.gossip.Message.Digest;

/** Iterates over the buckets of the member table and returns their digests, in a cycle. */
final class DigestCursor {

    private final int self;
    private final MemberTable members;
    private int bucket;

    DigestCursor(int self, MemberTable members) {
        this.self = self;
        this.members = members;
    }

    /** Sets the position; the next digest is that of the bucket after {@code firstBucket}. */
    void startAt(int firstBucket) {
        bucket = firstBucket;
    }

    /** Returns the digest of the next bucket. */
    Digest next(long ownIncarnation) {
        bucket = (bucket + 1) % members.bucketCount();
        return members.digest(bucket, self, ownIncarnation);
    }

    /** Returns the next digests, at most one for each bucket. */
    List<Digest> next(int count, long ownIncarnation) {
        List<Digest> digests = new ArrayList<>();
        for (int i = 0; i < Math.min(count, members.bucketCount()); i++) {
            digests.add(next(ownIncarnation));
        }
        return digests;
    }
}
