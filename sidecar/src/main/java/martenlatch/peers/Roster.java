package martenlatch.peers;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32C;
import martenlatch.peers.Message.Digest;
import martenlatch.peers.Message.Update;

/**
 * All members by number, and in short: the fleet in parts of some members each, with a check over what is
 * known of each part, so that two who know otherwise find out for six bytes.
 */
final class Roster {

    /** Two parts as they are fit into one message. */
    static final int PART = 16;

    private static final int ENTRY = 9;

    private final Member[] members;
    private final Set<Member> suspects = new LinkedHashSet<>();
    private int alive;

    Roster(int told) {
        members = new Member[told];
        for (int i = 0; i < told; i++) {
            members[i] = new Member(i);
        }
    }

    Member get(int number) {
        return members[number];
    }

    int told() {
        return members.length;
    }

    int alive() {
        return alive;
    }

    Set<Member> suspects() {
        return suspects;
    }

    /** A member is in another state from now on. */
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
        return (members.length + PART - 1) / PART;
    }

    /** Of one part; ourselves we know best, and others must agree. */
    Digest digest(int part, int self, long incarnation) {
        CRC32C check = new CRC32C();
        ByteBuffer entry = ByteBuffer.allocate(ENTRY);
        for (int i = part * PART; i < Math.min(members.length, (part + 1) * PART); i++) {
            Member one = members[i];
            boolean own = i == self;
            if (own || one.incarnation > 0) {
                entry.clear();
                entry.putInt(i)
                        .put((byte) (own || one.mayLive() ? 0 : one.state.ordinal()))
                        .putInt((int) (own ? incarnation : one.incarnation));
                check.update(entry.array(), 0, ENTRY);
            }
        }
        return new Digest(part, (int) check.getValue());
    }

    /** What is known of a part. */
    List<Update> part(int part, Update self) {
        List<Update> known = new ArrayList<>();
        for (int i = part * PART; i < Math.min(members.length, (part + 1) * PART); i++) {
            if (i == self.number()) {
                known.add(self);
            } else if (members[i].incarnation > 0) {
                known.add(members[i].asUpdate());
            }
        }
        return known;
    }
}
