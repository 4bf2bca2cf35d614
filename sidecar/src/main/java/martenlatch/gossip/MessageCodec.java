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
import martenlatch.gossip.Message.Status;
import martenlatch.gossip.Message.Update;

/**
 * Encodes messages as datagrams of at most {@link #MAX_DATAGRAM_BYTES} bytes and decodes them. Numbers are big-endian:
 *
 * <pre>
 * 0  2  0x4D4C
 * 2  1  version, 1: readers accept any version and skip sections of unknown type
 * 3  1  kind: 1 ping, 2 ack, 3 probe request, 4 gossip
 * 4  1  tier
 * 5  1  zone
 * 6  2  from
 * 8  4  incarnation of the sender
 * 12 2  sequence
 * 14 2  target
 * 16 1  flags
 * 17 4  CRC-32C of the datagram with these four bytes set to zero
 * 21    sections: type 1, length in bytes 1, then the entries
 *       1: updates of 7 bytes: number 2, status (upper three bits: 1 alive, 2 faulty, 3 left, 4 heard) and zone
 *          (lower five) 1, incarnation 4
 *       2: accusations of 8 bytes: number 2, incarnation 4, accuser 2
 *       3: digests of 6 bytes: bucket 2, hash 4
 * </pre>
 */
final class MessageCodec {

    /** The maximum size of a datagram on this platform. */
    static final int MAX_DATAGRAM_BYTES = 256;

    static final int HEADER_BYTES = 21;
    static final int UPDATE_BYTES = 7;
    static final int ACCUSATION_BYTES = 8;
    static final int DIGEST_BYTES = 6;
    /** The size of the type and length of a section. */
    static final int SECTION_HEADER_BYTES = 2;

    static final int MAX_ZONE = 31;
    private static final int MAGIC = 0x4D4C;
    private static final int VERSION = 1;
    private static final int CHECKSUM_OFFSET = 17;
    private static final int UPDATES_SECTION = 1;
    private static final int ACCUSATIONS_SECTION = 2;
    private static final int DIGESTS_SECTION = 3;
    private static final int ZONE_BITS = 5;

    private MessageCodec() {}

    /** Returns the size in bytes of a message with the given numbers of entries. */
    static int size(int updates, int accusations, int digests) {
        return HEADER_BYTES
                + (updates == 0 ? 0 : SECTION_HEADER_BYTES + updates * UPDATE_BYTES)
                + (accusations == 0 ? 0 : SECTION_HEADER_BYTES + accusations * ACCUSATION_BYTES)
                + (digests == 0 ? 0 : SECTION_HEADER_BYTES + digests * DIGEST_BYTES);
    }

    /** Encodes a message; throws {@link IllegalArgumentException} if it exceeds the maximum size. */
    static byte[] encode(Message message) {
        int size = size(
                message.updates().size(),
                message.accusations().size(),
                message.digests().size());
        if (size > MAX_DATAGRAM_BYTES) {
            throw new IllegalArgumentException(
                    "a message must have at most " + MAX_DATAGRAM_BYTES + " bytes but has " + size);
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
        putSectionHeader(out, UPDATES_SECTION, message.updates().size(), UPDATE_BYTES);
        for (Update update : message.updates()) {
            out.putShort((short) update.number())
                    .put((byte) (update.status().code() << ZONE_BITS | Math.min(MAX_ZONE, update.zone())))
                    .putInt((int) update.incarnation());
        }
        putSectionHeader(out, ACCUSATIONS_SECTION, message.accusations().size(), ACCUSATION_BYTES);
        for (Accusation accusation : message.accusations()) {
            out.putShort((short) accusation.number())
                    .putInt((int) accusation.incarnation())
                    .putShort((short) accusation.accuser());
        }
        putSectionHeader(out, DIGESTS_SECTION, message.digests().size(), DIGEST_BYTES);
        for (Digest digest : message.digests()) {
            out.putShort((short) digest.bucket()).putInt(digest.hash());
        }
        byte[] bytes = out.array();
        out.putInt(CHECKSUM_OFFSET, checksum(bytes));
        return bytes;
    }

    private static void putSectionHeader(ByteBuffer out, int type, int entries, int entryBytes) {
        if (entries > 0) {
            out.put((byte) type).put((byte) (entries * entryBytes));
        }
    }

    private static int checksum(byte[] bytes) {
        byte[] withoutChecksum = bytes.clone();
        Arrays.fill(withoutChecksum, CHECKSUM_OFFSET, HEADER_BYTES, (byte) 0);
        CRC32C crc = new CRC32C();
        crc.update(withoutChecksum);
        return (int) crc.getValue();
    }

    /** Decodes a datagram; returns null if it is not a message or is damaged. */
    static Message decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES || bytes.length > MAX_DATAGRAM_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if ((in.getShort() & 0xffff) != MAGIC || in.get() < 1 || in.getInt(CHECKSUM_OFFSET) != checksum(bytes)) {
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
        in.position(HEADER_BYTES);
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
                while (type == UPDATES_SECTION && in.position() + UPDATE_BYTES <= end) {
                    int number = in.getShort() & 0xffff;
                    int statusAndZone = in.get() & 0xff;
                    long memberIncarnation = in.getInt() & 0xffffffffL;
                    Status status = Status.ofCode(statusAndZone >> ZONE_BITS);
                    if (status != null) {
                        updates.add(new Update(number, status, statusAndZone & MAX_ZONE, memberIncarnation));
                    }
                }
                while (type == ACCUSATIONS_SECTION && in.position() + ACCUSATION_BYTES <= end) {
                    accusations.add(
                            new Accusation(in.getShort() & 0xffff, in.getInt() & 0xffffffffL, in.getShort() & 0xffff));
                }
                while (type == DIGESTS_SECTION && in.position() + DIGEST_BYTES <= end) {
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
