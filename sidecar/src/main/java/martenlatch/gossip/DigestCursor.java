package martenlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import martenlatch.gossip.Message.Digest;

/** Gives out digests of the parts of the member table, one part after the other. */
final class DigestCursor {

    private final int self;
    private final MemberTable members;
    private int part;

    DigestCursor(int self, MemberTable members) {
        this.self = self;
        this.members = members;
    }

    void startAt(int firstPart) {
        part = firstPart;
    }

    Digest next(long ownIncarnation) {
        part = (part + 1) % members.parts();
        return members.digest(part, self, ownIncarnation);
    }

    /** The next digests, at most as many as there are parts. */
    List<Digest> next(int count, long ownIncarnation) {
        List<Digest> digests = new ArrayList<>();
        for (int i = 0; i < Math.min(count, members.parts()); i++) {
            digests.add(next(ownIncarnation));
        }
        return digests;
    }
}
