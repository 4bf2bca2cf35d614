package martenlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import martenlatch.gossip.Message.Digest;
import martenlatch.gossip.Message.Update;

/**
 * Compares member tables with peers, part by part: a member that has just started, was paused or was cut off compares
 * all parts until so many were found equal.
 */
final class AntiEntropy {

    private static final double INTERVAL_MS = 200;
    private static final double MAX_CATCH_UP_MS = 30_000;
    /** Parts compared in one message: the answer to them is another whole message. */
    private static final int PARTS_PER_MESSAGE = 4;
    /** With so many unknown lives in one message there are more than dissemination brings. */
    private static final int BEHIND = 4;

    private static final int MAX_UPDATES =
            (MessageCodec.MAX_BYTES - MessageCodec.HEADER - MessageCodec.SECTION) / MessageCodec.UPDATE;

    private final LocalMember self;
    private final MemberTable members;
    private final PeerSelector selector;
    private final GossipSender sender;
    private final FailureDetector failureDetector;
    private final DigestCursor digests;
    private double nextMs;
    private double catchUpUntilMs;
    /** Parts found equal, one after the other. */
    private int equalParts;

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

    void start(double nowMs, SplittableRandom random) {
        nextMs = nowMs;
        digests.startAt(random.nextInt(members.parts()));
        catchUpUntilMs = nowMs + MAX_CATCH_UP_MS;
    }

    /** Whether the table is still being compared: it may lack members. */
    boolean isCatchingUp(double nowMs) {
        return nowMs < catchUpUntilMs;
    }

    /** This member was paused for so long that it may have missed a lot. */
    void onPaused(double nowMs, double pausedMs) {
        catchUp(nowMs + Math.min(pausedMs, MAX_CATCH_UP_MS));
    }

    private void catchUp(double untilMs) {
        catchUpUntilMs = Math.max(catchUpUntilMs, untilMs);
        equalParts = 0;
    }

    /** Compares some parts with a random peer, when that is due. */
    void compareWhenDue(double nowMs) {
        if (nowMs < nextMs || !isCatchingUp(nowMs) || members.size() == 1) {
            return;
        }
        nextMs = nowMs + INTERVAL_MS;
        if (equalParts >= members.parts()) {
            catchUpUntilMs = nowMs;
            return;
        }
        int peer = selector.randomAlive();
        if (peer >= 0 && sender.mayGossip(nowMs)) {
            failureDetector.compare(nowMs, peer, digests.next(PARTS_PER_MESSAGE, self.incarnation()));
        }
    }

    /** A message brought so many lives that were not known. */
    void onUnknownLives(double nowMs, int lives) {
        if (lives >= BEHIND) {
            catchUp(nowMs + MAX_CATCH_UP_MS / 2);
        }
    }

    /** A peer has compared so many parts; {@code equal} if it knows the same. */
    void onCompared(int parts, boolean equal) {
        equalParts = equal ? equalParts + parts : 0;
    }

    /** What a peer that sent these digests does not know, or knows otherwise. */
    List<Update> differences(double nowMs, Member peer, List<Digest> theirs) {
        List<Update> updates = new ArrayList<>();
        if (!peer.mayLive()) {
            updates.add(peer.asUpdate());
        }
        for (Digest digest : theirs) {
            if (digest.bucket() < members.parts() && sender.mayTell(nowMs) && differs(digest)) {
                updates.addAll(members.part(digest.bucket(), self.asUpdate()));
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
