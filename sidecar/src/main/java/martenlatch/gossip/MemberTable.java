package martenlatch.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32C;
import martenlatch.gossip.Message.Digest;
import martenlatch.gossip.Message.Update;

/**
 * Holds all members by number. The table is divided into buckets of several members. Each bucket has a digest, so that
 * two members detect a difference in a bucket with six bytes.
 */
final class MemberTable {

    /** The number of members in a bucket: the updates of two buckets fit into one message. */
    static final int BUCKET_SIZE = 16;

    private static final int ENTRY_BYTES = 9;

    private final Member[] members;
    private final Set<Member> suspects = new LinkedHashSet<>();
    private int alive;

    MemberTable(int size) {
        members = new Member[size];
        for (int i = 0; i < size; i++) {
            members[i] = new Member(i);
        }
    }

    Member get(int number) {
        return members[number];
    }

    int size() {
        return members.length;
    }

    /** Returns the number of peers that are alive. */
    int alive() {
        return alive;
    }

    Set<Member> suspects() {
        return suspects;
    }

    /** Sets the state of a member and updates the counts. */
    void setState(Member member, PeerState next) {
        alive += (next == PeerState.ALIVE ? 1 : 0) - (member.state == PeerState.ALIVE ? 1 : 0);
        member.state = next;
        if (next == PeerState.SUSPECT) {
            suspects.add(member);
        } else {
            suspects.remove(member);
            member.suspicion = null;
        }
    }

    /** Returns the number of buckets. */
    int bucketCount() {
        return (members.length + BUCKET_SIZE - 1) / BUCKET_SIZE;
    }

    /** Returns the digest of a bucket. The entry of this member has the given incarnation and counts as alive. */
    Digest digest(int bucket, int self, long incarnation) {
        CRC32C checksum = new CRC32C();
        ByteBuffer entry = ByteBuffer.allocate(ENTRY_BYTES);
        for (int i = bucket * BUCKET_SIZE; i < Math.min(members.length, (bucket + 1) * BUCKET_SIZE); i++) {
            Member member = members[i];
            boolean isSelf = i == self;
            if (isSelf || member.incarnation > 0) {
                entry.clear();
                entry.putInt(i)
                        .put((byte) (isSelf || member.mayBeAlive() ? 0 : member.state.code()))
                        .putInt((int) (isSelf ? incarnation : member.incarnation));
                checksum.update(entry.array(), 0, ENTRY_BYTES);
            }
        }
        return new Digest(bucket, (int) checksum.getValue());
    }

    /** Returns the updates on the known members of a bucket. */
    List<Update> bucketUpdates(int bucket, Update self) {
        List<Update> known = new ArrayList<>();
        for (int i = bucket * BUCKET_SIZE; i < Math.min(members.length, (bucket + 1) * BUCKET_SIZE); i++) {
            if (i == self.number()) {
                known.add(self);
            } else if (members[i].incarnation > 0) {
                known.add(members[i].asUpdate());
            }
        }
        return known;
    }
}
