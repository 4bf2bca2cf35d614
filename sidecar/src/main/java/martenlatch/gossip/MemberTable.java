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
 * All members by number. The table is divided into parts of some members each, with a digest of what is known of each
 * part, so that two members that know otherwise find out for six bytes.
 */
final class MemberTable {

    /** Members in a part: two parts fit into one message. */
    static final int PART_SIZE = 16;

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

    int alive() {
        return alive;
    }

    Set<Member> suspects() {
        return suspects;
    }

    /** Puts a member into another state. */
    void move(Member member, PeerState next) {
        alive += (next == PeerState.ALIVE ? 1 : 0) - (member.state == PeerState.ALIVE ? 1 : 0);
        member.state = next;
        if (next == PeerState.SUSPECT) {
            suspects.add(member);
        } else {
            suspects.remove(member);
            member.suspicion = null;
        }
    }

    int parts() {
        return (members.length + PART_SIZE - 1) / PART_SIZE;
    }

    /** The digest of one part; in it this member counts as it knows itself. */
    Digest digest(int part, int self, long incarnation) {
        CRC32C checksum = new CRC32C();
        ByteBuffer entry = ByteBuffer.allocate(ENTRY_BYTES);
        for (int i = part * PART_SIZE; i < Math.min(members.length, (part + 1) * PART_SIZE); i++) {
            Member member = members[i];
            boolean own = i == self;
            if (own || member.incarnation > 0) {
                entry.clear();
                entry.putInt(i)
                        .put((byte) (own || member.mayLive() ? 0 : member.state.code()))
                        .putInt((int) (own ? incarnation : member.incarnation));
                checksum.update(entry.array(), 0, ENTRY_BYTES);
            }
        }
        return new Digest(part, (int) checksum.getValue());
    }

    /** What is known of the members in a part. */
    List<Update> part(int part, Update self) {
        List<Update> known = new ArrayList<>();
        for (int i = part * PART_SIZE; i < Math.min(members.length, (part + 1) * PART_SIZE); i++) {
            if (i == self.number()) {
                known.add(self);
            } else if (members[i].incarnation > 0) {
                known.add(members[i].asUpdate());
            }
        }
        return known;
    }
}
