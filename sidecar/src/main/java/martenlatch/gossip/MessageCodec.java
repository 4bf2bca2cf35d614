package martenlatch.gossip;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Digest;
import martenlatch.gossip.Message.Kind;
import martenlatch.gossip.Message.Update;
import martenlatch.gossip.Message.Word;

/**
 * Messages between peers as datagrams of at most {@link #MAX_BYTES} bytes, numbers with the highest byte first:
 *
 * <pre>
 * 0  2  0x4D4C
 * 2  1  version, 1: readers accept any and skip what they do not know
 * 3  1  kind: 1 ping, 2 ack, 3 try, 4 gossip
 * 4  1  tier
 * 5  1  zone
 * 6  2  from
 * 8  4  incarnation of the sender
 * 12 2  sequence
 * 14 2  target
 * 16 1  flags
 * 17 4  CRC-32C of the whole with these four bytes as zeros
 * 21    sections: 1 byte of type, 1 of length, and so many bytes
 *       1: updates of 7 bytes: number 2, word (upper three bits: 1 alive, 2 faulty, 3 left, 4 heard) and zone
 *          (lower five) 1, incarnation 4
 *       2: accusations of 8 bytes: number 2, incarnation 4, accuser 2
 *       3: digests of 6 bytes: bucket 2, hash 4
 * </pre>
 */
final class MessageCodec {

    /** The platform's bound on a datagram. */
    static final int MAX_BYTES = 256;

    static final int HEADER = 21;
    static final int UPDATE = 7;
    static final int ACCUSATION = 8;
    static final int DIGEST = 6;
    /** The bytes of a section's head. */
    static final int SECTION = 2;

    static final int MAX_ZONE = 31;
    private static final int MAGIC = 0x4D4C;
    private static final int VERSION = 1;
    private static final int CHECK_AT = 17;
    private static final int UPDATES = 1;
    private static final int ACCUSATIONS = 2;
    private static final int DIGESTS = 3;
    private static final int ZONE_BITS = 5;

    private MessageCodec() {}

    /** The size of a message with so many entries, in bytes. */
    static int size(int updates, int accusations, int digests) {
        return HEADER
                + (updates == 0 ? 0 : SECTION + updates * UPDATE)
                + (accusations == 0 ? 0 : SECTION + accusations * ACCUSATION)
                + (digests == 0 ? 0 : SECTION + digests * DIGEST);
    }

    static byte[] encode(Message message) {
        int size = size(
                message.updates().size(),
                message.accusations().size(),
                message.digests().size());
        if (size > MAX_BYTES) {
            throw new IllegalArgumentException("a message must have at most " + MAX_BYTES + " bytes but has " + size);
        }
        ByteBuffer out = ByteBuffer.allocate(size);
        out.putShort((short) MAGIC)
                .put((byte) VERSION)
                .put((byte) message.kind().code())
                .put((byte) message.tier())
                .put((byte) message.zone())
                .putShort((short) message.from())
                .putInt((int) message.incarnation())
                .putShort((short) message.sequence())
                .putShort((short) message.target())
                .put((byte) message.flags())
                .putInt(0);
        section(out, UPDATES, message.updates().size(), UPDATE);
        for (Update one : message.updates()) {
            out.putShort((short) one.number())
                    .put((byte) (one.word().code() << ZONE_BITS | Math.min(MAX_ZONE, one.zone())))
                    .putInt((int) one.incarnation());
        }
        section(out, ACCUSATIONS, message.accusations().size(), ACCUSATION);
        for (Accusation one : message.accusations()) {
            out.putShort((short) one.number()).putInt((int) one.incarnation()).putShort((short) one.accuser());
        }
        section(out, DIGESTS, message.digests().size(), DIGEST);
        for (Digest one : message.digests()) {
            out.putShort((short) one.bucket()).putInt(one.hash());
        }
        byte[] bytes = out.array();
        out.putInt(CHECK_AT, check(bytes));
        return bytes;
    }

    private static void section(ByteBuffer out, int type, int entries, int each) {
        if (entries > 0) {
            out.put((byte) type).put((byte) (entries * each));
        }
    }

    private static int check(byte[] bytes) {
        byte[] blank = bytes.clone();
        Arrays.fill(blank, CHECK_AT, HEADER, (byte) 0);
        CRC32C check = new CRC32C();
        check.update(blank);
        return (int) check.getValue();
    }

    /** Decodes a datagram; null if it is not a message, or was damaged. */
    static Message decode(byte[] bytes) {
        if (bytes.length < HEADER || bytes.length > MAX_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if ((in.getShort() & 0xffff) != MAGIC || in.get() < 1 || in.getInt(CHECK_AT) != check(bytes)) {
            return null;
        }
        Kind kind = Kind.ofCode(in.get());
        if (kind == null) {
            return null;
        }
        int tier = in.get() & 0xff;
        int zone = Math.min(MAX_ZONE, in.get() & 0xff);
        int from = in.getShort() & 0xffff;
        long incarnation = in.getInt() & 0xffffffffL;
        int sequence = in.getShort() & 0xffff;
        int target = in.getShort() & 0xffff;
        int flags = in.get() & 0xff;
        in.position(HEADER);
        List<Update> updates = new ArrayList<>();
        List<Accusation> accusations = new ArrayList<>();
        List<Digest> digests = new ArrayList<>();
        try {
            while (in.hasRemaining()) {
                int type = in.get();
                int length = in.get() & 0xff;
                int end = in.position() + length;
                if (end > in.limit()) {
                    return null;
                }
                while (type == UPDATES && in.position() + UPDATE <= end) {
                    int number = in.getShort() & 0xffff;
                    int word = in.get() & 0xff;
                    long of = in.getInt() & 0xffffffffL;
                    Word known = Word.ofCode(word >> ZONE_BITS);
                    if (known != null) {
                        updates.add(new Update(number, known, word & MAX_ZONE, of));
                    }
                }
                while (type == ACCUSATIONS && in.position() + ACCUSATION <= end) {
                    accusations.add(
                            new Accusation(in.getShort() & 0xffff, in.getInt() & 0xffffffffL, in.getShort() & 0xffff));
                }
                while (type == DIGESTS && in.position() + DIGEST <= end) {
                    digests.add(new Digest(in.getShort() & 0xffff, in.getInt()));
                }
                in.position(end);
            }
        } catch (BufferUnderflowException e) {
            return null;
        }
        return new Message(kind, tier, zone, from, incarnation, sequence, target, flags, updates, accusations, digests);
    }
}
