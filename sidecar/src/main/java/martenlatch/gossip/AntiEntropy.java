package martenlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import martenlatch.gossip.Message.Digest;
import martenlatch.gossip.Message.Update;

/**
 * Compares the member table with those of peers, bucket by bucket. A member that has just started, was paused or was
 * cut off compares buckets with random peers until as many in a row were equal as the table has.
 */
final class AntiEntropy {

    private static final double COMPARE_INTERVAL_MS = 200;
    /** The longest time for which tables are compared after a start or a pause. */
    private static final double MAX_CATCH_UP_MS = 30_000;
    /**
     * The number of buckets compared in one message. The updates of the buckets that differ fill another whole message.
     */
    private static final int BUCKETS_PER_MESSAGE = 4;
    /** If a message has this many unknown incarnations, more is missing than dissemination delivers. */
    private static final int MIN_UNKNOWN_TO_CATCH_UP = 4;

    private static final int MAX_UPDATES =
            (MessageCodec.MAX_DATAGRAM_BYTES - MessageCodec.HEADER_BYTES - MessageCodec.SECTION_HEADER_BYTES)
                    / MessageCodec.UPDATE_BYTES;

    private final LocalMember self;
    private final MemberTable members;
    private final PeerSelector selector;
    private final GossipSender sender;
    private final FailureDetector failureDetector;
    private final DigestCursor digests;
    private double nextComparisonMs;
    private double catchUpUntilMs;
    /** The number of buckets found equal in a row. */
    private int equalBuckets;

    AntiEntropy(
            LocalMember self,
            MemberTable members,
            PeerSelector selector,
            GossipSender sender,
            FailureDetector failureDetector,
            DigestCursor digests) {
        this.self = self;
        this.members = members;
        this.selector = selector;
        this.sender = sender;
        this.failureDetector = failureDetector;
        this.digests = digests;
    }

    /** Starts comparing tables, from a random bucket on. */
    void start(double nowMs, SplittableRandom random) {
        nextComparisonMs = nowMs;
        digests.startAt(random.nextInt(members.bucketCount()));
        catchUpUntilMs = nowMs + MAX_CATCH_UP_MS;
    }

    /** Returns whether the table is still being compared and may lack members. */
    boolean isCatchingUp(double nowMs) {
        return nowMs < catchUpUntilMs;
    }

    /** Called when this member was paused so long that it may have missed many updates. */
    void onPaused(double nowMs, double pausedMs) {
        catchUp(nowMs + Math.min(pausedMs, MAX_CATCH_UP_MS));
    }

    private void catchUp(double untilMs) {
        catchUpUntilMs = Math.max(catchUpUntilMs, untilMs);
        equalBuckets = 0;
    }

    /** Compares some buckets with a random peer if the interval has passed. */
    void compareWhenDue(double nowMs) {
        if (nowMs < nextComparisonMs || !isCatchingUp(nowMs) || members.size() == 1) {
            return;
        }
        nextComparisonMs = nowMs + COMPARE_INTERVAL_MS;
        if (equalBuckets >= members.bucketCount()) {
            catchUpUntilMs = nowMs;
            return;
        }
        int peer = selector.randomAlive();
        if (peer >= 0 && sender.mayGossip(nowMs)) {
            failureDetector.compare(nowMs, peer, digests.next(BUCKETS_PER_MESSAGE, self.incarnation()));
        }
    }

    /** Called when a message contained {@code count} incarnations that were not known. */
    void onUnknownIncarnations(double nowMs, int count) {
        if (count >= MIN_UNKNOWN_TO_CATCH_UP) {
            catchUp(nowMs + MAX_CATCH_UP_MS / 2);
        }
    }

    /** Called when a peer has compared buckets; {@code equal} is true if both tables held the same. */
    void onCompared(int buckets, boolean equal) {
        equalBuckets = equal ? equalBuckets + buckets : 0;
    }

    /** Returns the updates of the buckets whose digests differ from those that a peer sent. */
    List<Update> differences(double nowMs, Member peer, List<Digest> peerDigests) {
        List<Update> updates = new ArrayList<>();
        if (!peer.mayBeAlive()) {
            updates.add(peer.asUpdate());
        }
        for (Digest digest : peerDigests) {
            if (digest.bucket() < members.bucketCount() && sender.maySendUpdates(nowMs) && differs(digest)) {
                updates.addAll(members.bucketUpdates(digest.bucket(), self.asUpdate()));
            }
        }
        return updates.size() > MAX_UPDATES ? updates.subList(0, MAX_UPDATES) : updates;
    }

    private boolean differs(Digest digest) {
        return digest.hash()
                != members.digest(digest.bucket(), self.number(), self.incarnation())
                        .hash();
    }
}
