package martenlatch.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.zip.CRC32C;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Digest;
import martenlatch.gossip.Message.Kind;
import martenlatch.gossip.Message.Update;
import martenlatch.gossip.Message.Word;
import org.junit.jupiter.api.Test;

/** One member among peers that the test plays: liars, broken ones, and others than there should be. */
class GossipMembershipTest {

    private static final int TOLD = 40;
    private static final double START = 1.8e12;
    private static final long LIFE = Incarnations.at(START);

    private record Sent(int to, Message message) {}

    private final List<Sent> sent = new ArrayList<>();
    private long bytes;
    private final GossipMembership membership =
            new GossipMembership(GossipSettings.withDefaults(0, TOLD, 2, 1), 5, new GossipMembership.Environment() {
                @Override
                public void send(int to, byte[] datagram) {
                    assertTrue(datagram.length <= MessageCodec.MAX_BYTES);
                    bytes += datagram.length;
                    sent.add(new Sent(to, MessageCodec.decode(datagram)));
                }

                @Override
                public void onStateChanged(int peer, PeerState before, PeerState now) {
                    // The tests look at the states themselves.
                }
            });
    private double now = START;

    GossipMembershipTest() {
        membership.start(now);
    }

    private void pass(double ms) {
        for (double until = now + ms; now < until; ) {
            now += GossipMembership.TICK_MS;
            membership.tick(now);
        }
    }

    private static Message message(
            int tier, int from, long life, Kind kind, List<Update> updates, List<Accusation> accusations) {
        return new Message(kind, tier, 1, from, life, 7, 0, 0, updates, accusations, List.of());
    }

    private void hear(int from, Message message) {
        membership.receive(now, from, MessageCodec.encode(message));
    }

    /** All others are there, and answer what they are asked. */
    private void live(double ms) {
        for (int i = 1; i < TOLD && believed(PeerState.ABSENT) > 0; i++) {
            hear(i, message(2, i, LIFE, Kind.GOSSIP, List.of(), List.of()));
        }
        for (double until = now + ms; now < until; ) {
            pass(GossipMembership.TICK_MS);
            List<Sent> asked = List.copyOf(sent);
            sent.clear();
            for (Sent one : asked) {
                if (one.message().kind() == Kind.PING) {
                    hear(
                            one.to(),
                            new Message(
                                    Kind.ACK,
                                    2,
                                    1,
                                    one.to(),
                                    LIFE,
                                    one.message().sequence(),
                                    one.to(),
                                    0,
                                    List.of(),
                                    List.of(),
                                    List.of()));
                }
            }
        }
    }

    private int believed(PeerState state) {
        int count = 0;
        for (int i = 1; i < TOLD; i++) {
            count += membership.state(i) == state ? 1 : 0;
        }
        return count;
    }

    @Test
    void whatIsWrittenIsRead() {
        Message message = new Message(
                Kind.TRY,
                3,
                4,
                700,
                0xfedcba98L,
                65_535,
                12,
                Message.DEAF,
                List.of(new Update(1, Word.HEARD, 31, 5), new Update(999, Word.LEFT, 0, 0xffffffffL)),
                List.of(new Accusation(8, 9, 10)),
                List.of(new Digest(62, -7)));
        byte[] bytes = MessageCodec.encode(message);
        assertEquals(MessageCodec.size(2, 1, 1), bytes.length);
        assertEquals(message, MessageCodec.decode(bytes));
        List<Update> many = new ArrayList<>();
        for (int i = 0; i < 34; i++) {
            many.add(new Update(i, Word.ALIVE, 0, 1));
        }
        assertEquals(
                "a message must have at most 256 bytes but has 261",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> MessageCodec.encode(message(0, 1, 1, Kind.PING, many, List.of())))
                        .getMessage());
    }

    /** A later version has another number and a section that this one does not know. */
    @Test
    void aLaterVersionIsUnderstood() {
        byte[] bytes = MessageCodec.encode(
                message(2, 1, LIFE, Kind.PING, List.of(new Update(9, Word.ALIVE, 1, LIFE)), List.of()));
        byte[] later = Arrays.copyOf(bytes, bytes.length + 5);
        later[2] = 9;
        later[bytes.length] = 77;
        later[bytes.length + 1] = 3;
        ByteBuffer.wrap(later).putInt(17, 0);
        CRC32C check = new CRC32C();
        check.update(later);
        ByteBuffer.wrap(later).putInt(17, (int) check.getValue());
        membership.receive(now, 1, later);
        assertEquals(PeerState.ALIVE, membership.state(9));
        later[bytes.length + 1] = 4;
        assertNull(MessageCodec.decode(later));
    }

    @Test
    void whatIsNotForUsIsCountedAndDropped() {
        Message good = message(2, 1, LIFE, Kind.PING, List.of(), List.of());
        hear(3, good);
        hear(-1, good);
        hear(0, message(2, 0, LIFE, Kind.PING, List.of(), List.of()));
        hear(1, message(1, 1, LIFE, Kind.PING, List.of(), List.of()));
        hear(1, message(2, 1, 0xffffffffL, Kind.PING, List.of(), List.of()));
        hear(TOLD, message(2, TOLD, LIFE, Kind.PING, List.of(), List.of()));
        membership.receive(now, 1, new byte[0]);
        GossipMetrics metrics = membership.metrics();
        assertArrayEquals(
                new long[] {3, 1, 1, 2, 0},
                new long[] {metrics.foreign, metrics.otherTier, metrics.insane, metrics.malformed, metrics.heard});
        assertEquals(TOLD - 1, believed(PeerState.ABSENT));
        hear(1, good);
        sent.clear();
        hear(1, message(2, 1, LIFE - 5, Kind.PING, List.of(), List.of()));
        assertEquals(1, metrics.earlierLife);
        // It is told what it has to exceed.
        assertEquals(
                List.of(new Update(1, Word.ALIVE, 1, LIFE)),
                sent.get(0).message().updates());
    }

    /** Guards against tables and traffic that a broken peer can make grow, and a view that it can empty. */
    @Test
    void aStormLeavesTablesTrafficAndViewAsTheyWere() {
        live(20_000);
        assertEquals(TOLD - 1, believed(PeerState.ALIVE));
        Random random = new Random(3);
        long before = bytes;
        double from = now;
        for (int i = 0; i < 3000; i++) {
            byte[] noise = new byte[random.nextInt(300)];
            random.nextBytes(noise);
            membership.receive(now, 1 + random.nextInt(TOLD), noise);
            List<Accusation> against = new ArrayList<>();
            List<Update> lies = new ArrayList<>();
            for (int j = 0; j < 10; j++) {
                against.add(new Accusation(random.nextInt(TOLD), LIFE + random.nextInt(3), random.nextInt(TOLD)));
                lies.add(new Update(random.nextInt(TOLD), Word.FAULTY, 1, LIFE + random.nextInt(3)));
            }
            hear(1, message(2, 1, LIFE, Kind.PING, lies, against));
            if (i % 10 == 0) {
                live(GossipMembership.TICK_MS);
            }
        }
        assertTrue(
                (bytes - before) / (now - from) * 1000 <= 3000 + 3000 / ((now - from) / 1000),
                "sent " + (bytes - before) + " in " + (now - from));
        assertTrue(
                membership.tableSizes().stream().allMatch(size -> size <= 128 + TOLD),
                membership.tableSizes().toString());
        assertTrue(believed(PeerState.FAULTY) <= TOLD / 4, "called faulty: " + believed(PeerState.FAULTY));
    }

    /** A number of the largest would leave its subject nothing to contradict with. */
    @Test
    void theLargestIncarnationIsNotBelieved() {
        live(5000);
        hear(
                2,
                message(
                        2,
                        2,
                        LIFE,
                        Kind.GOSSIP,
                        List.of(new Update(0, Word.FAULTY, 1, 0xffffffffL), new Update(5, Word.FAULTY, 1, 0xffffffffL)),
                        List.of()));
        assertEquals(2, membership.metrics().insane);
        assertEquals(PeerState.ALIVE, membership.state(5));
        long life = membership.incarnation();
        hear(2, message(2, 2, LIFE, Kind.GOSSIP, List.of(new Update(0, Word.FAULTY, 1, life + 1000)), List.of()));
        assertEquals(life + 1001, membership.incarnation());
    }

    @Test
    void settingsThatCannotBeAreNamed() {
        assertEquals(
                "peers.self must be 0 to 9 but is 10.0",
                assertThrows(IllegalArgumentException.class, () -> GossipSettings.withDefaults(10, 10, 0, 0))
                        .getMessage());
        assertEquals(
                "peers.period-ms must be 100 to 60000 but is 5.0",
                assertThrows(IllegalArgumentException.class, () -> new GossipSettings(0, 2, 0, 0, 5, 3000))
                        .getMessage());
    }
}
