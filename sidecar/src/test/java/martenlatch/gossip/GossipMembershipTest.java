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
import martenlatch.gossip.Message.Status;
import martenlatch.gossip.Message.Update;
import org.junit.jupiter.api.Test;

/** Runs one member against peers simulated by the test, including faulty, lying and misconfigured ones. */
class GossipMembershipTest {

    private static final int MEMBER_COUNT = 40;
    private static final double START_MS = 1.8e12;
    private static final long INCARNATION = Incarnations.at(START_MS);

    private record Sent(int to, Message message) {}

    private final List<Sent> sent = new ArrayList<>();
    private long sentBytes;
    private final GossipMembership membership = new GossipMembership(
            GossipSettings.withDefaults(0, MEMBER_COUNT, 2, 1), 5, new GossipMembership.Environment() {
                @Override
                public void send(int to, byte[] datagram) {
                    assertTrue(datagram.length <= MessageCodec.MAX_DATAGRAM_BYTES);
                    sentBytes += datagram.length;
                    sent.add(new Sent(to, MessageCodec.decode(datagram)));
                }

                @Override
                public void onStateChanged(int peer, PeerState previous, PeerState current) {
                    // The tests check the states through the membership.
                }
            });
    private double nowMs = START_MS;

    GossipMembershipTest() {
        membership.start(nowMs);
    }

    private void advance(double durationMs) {
        for (double untilMs = nowMs + durationMs; nowMs < untilMs; ) {
            nowMs += GossipMembership.TICK_MS;
            membership.tick(nowMs);
        }
    }

    private static Message message(
            int tier, int from, long incarnation, Kind kind, List<Update> updates, List<Accusation> accusations) {
        return new Message(kind, tier, 1, from, incarnation, 7, 0, 0, updates, accusations, List.of());
    }

    private void receive(int from, Message message) {
        membership.receive(nowMs, from, MessageCodec.encode(message));
    }

    /** Lets all other members announce themselves and answer every ping for the given time. */
    private void runAllResponding(double durationMs) {
        for (int i = 1; i < MEMBER_COUNT && countInState(PeerState.ABSENT) > 0; i++) {
            receive(i, message(2, i, INCARNATION, Kind.GOSSIP, List.of(), List.of()));
        }
        for (double untilMs = nowMs + durationMs; nowMs < untilMs; ) {
            advance(GossipMembership.TICK_MS);
            List<Sent> datagrams = List.copyOf(sent);
            sent.clear();
            for (Sent datagram : datagrams) {
                if (datagram.message().kind() == Kind.PING) {
                    receive(
                            datagram.to(),
                            new Message(
                                    Kind.ACK,
                                    2,
                                    1,
                                    datagram.to(),
                                    INCARNATION,
                                    datagram.message().sequence(),
                                    datagram.to(),
                                    0,
                                    List.of(),
                                    List.of(),
                                    List.of()));
                }
            }
        }
    }

    private int countInState(PeerState state) {
        int count = 0;
        for (int i = 1; i < MEMBER_COUNT; i++) {
            count += membership.state(i) == state ? 1 : 0;
        }
        return count;
    }

    @Test
    void decodesWhatWasEncoded() {
        Message message = new Message(
                Kind.PROBE_REQUEST,
                3,
                4,
                700,
                0xfedcba98L,
                65_535,
                12,
                Message.CUT_OFF,
                List.of(new Update(1, Status.HEARD, 31, 5), new Update(999, Status.LEFT, 0, 0xffffffffL)),
                List.of(new Accusation(8, 9, 10)),
                List.of(new Digest(62, -7)));
        byte[] bytes = MessageCodec.encode(message);
        assertEquals(MessageCodec.size(2, 1, 1), bytes.length);
        assertEquals(message, MessageCodec.decode(bytes));
        List<Update> many = new ArrayList<>();
        for (int i = 0; i < 34; i++) {
            many.add(new Update(i, Status.ALIVE, 0, 1));
        }
        assertEquals(
                "a message must have at most 256 bytes but has 261",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> MessageCodec.encode(message(0, 1, 1, Kind.PING, many, List.of())))
                        .getMessage());
    }

    /** A message of a later version has a higher version number and a section of unknown type. */
    @Test
    void messageOfLaterVersionIsAccepted() {
        byte[] bytes = MessageCodec.encode(
                message(2, 1, INCARNATION, Kind.PING, List.of(new Update(9, Status.ALIVE, 1, INCARNATION)), List.of()));
        byte[] later = Arrays.copyOf(bytes, bytes.length + 5);
        later[2] = 9;
        later[bytes.length] = 77;
        later[bytes.length + 1] = 3;
        ByteBuffer.wrap(later).putInt(17, 0);
        CRC32C crc = new CRC32C();
        crc.update(later);
        ByteBuffer.wrap(later).putInt(17, (int) crc.getValue());
        membership.receive(nowMs, 1, later);
        assertEquals(PeerState.ALIVE, membership.state(9));
        later[bytes.length + 1] = 4;
        assertNull(MessageCodec.decode(later));
    }

    @Test
    void messagesFromInvalidSendersAreCountedAndDropped() {
        Message good = message(2, 1, INCARNATION, Kind.PING, List.of(), List.of());
        receive(3, good);
        receive(-1, good);
        receive(0, message(2, 0, INCARNATION, Kind.PING, List.of(), List.of()));
        receive(1, message(1, 1, INCARNATION, Kind.PING, List.of(), List.of()));
        receive(1, message(2, 1, 0xffffffffL, Kind.PING, List.of(), List.of()));
        receive(MEMBER_COUNT, message(2, MEMBER_COUNT, INCARNATION, Kind.PING, List.of(), List.of()));
        membership.receive(nowMs, 1, new byte[0]);
        GossipMetrics metrics = membership.metrics();
        assertArrayEquals(new long[] {3, 1, 1, 2, 0}, new long[] {
            metrics.wrongSender, metrics.otherTier, metrics.implausibleIncarnation, metrics.malformed, metrics.received
        });
        assertEquals(MEMBER_COUNT - 1, countInState(PeerState.ABSENT));
        receive(1, good);
        sent.clear();
        receive(1, message(2, 1, INCARNATION - 5, Kind.PING, List.of(), List.of()));
        assertEquals(1, metrics.earlierIncarnation);
        // The sender is notified of the incarnation that it has to exceed.
        assertEquals(
                List.of(new Update(1, Status.ALIVE, 1, INCARNATION)),
                sent.get(0).message().updates());
    }

    /** Guards against a broken peer that makes tables and traffic grow or has all members declared faulty. */
    @Test
    void messageStormDoesNotGrowTablesTrafficOrFaultyCount() {
        runAllResponding(20_000);
        assertEquals(MEMBER_COUNT - 1, countInState(PeerState.ALIVE));
        Random random = new Random(3);
        long sentBytesBefore = sentBytes;
        double startMs = nowMs;
        for (int i = 0; i < 3000; i++) {
            byte[] randomBytes = new byte[random.nextInt(300)];
            random.nextBytes(randomBytes);
            membership.receive(nowMs, 1 + random.nextInt(MEMBER_COUNT), randomBytes);
            List<Accusation> accusations = new ArrayList<>();
            List<Update> falseUpdates = new ArrayList<>();
            for (int j = 0; j < 10; j++) {
                accusations.add(new Accusation(
                        random.nextInt(MEMBER_COUNT), INCARNATION + random.nextInt(3), random.nextInt(MEMBER_COUNT)));
                falseUpdates.add(
                        new Update(random.nextInt(MEMBER_COUNT), Status.FAULTY, 1, INCARNATION + random.nextInt(3)));
            }
            receive(1, message(2, 1, INCARNATION, Kind.PING, falseUpdates, accusations));
            if (i % 10 == 0) {
                runAllResponding(GossipMembership.TICK_MS);
            }
        }
        assertTrue(
                (sentBytes - sentBytesBefore) / (nowMs - startMs) * 1000 <= 3000 + 3000 / ((nowMs - startMs) / 1000),
                "sent " + (sentBytes - sentBytesBefore) + " bytes in " + (nowMs - startMs) + " ms");
        assertTrue(
                membership.tableSizes().stream().allMatch(size -> size <= 128 + MEMBER_COUNT),
                membership.tableSizes().toString());
        assertTrue(
                countInState(PeerState.FAULTY) <= MEMBER_COUNT / 4,
                "declared faulty: " + countInState(PeerState.FAULTY));
    }

    /** The maximum incarnation would leave its subject no higher number to refute it with. */
    @Test
    void implausibleIncarnationIsRejected() {
        runAllResponding(5000);
        receive(
                2,
                message(
                        2,
                        2,
                        INCARNATION,
                        Kind.GOSSIP,
                        List.of(
                                new Update(0, Status.FAULTY, 1, 0xffffffffL),
                                new Update(5, Status.FAULTY, 1, 0xffffffffL)),
                        List.of()));
        assertEquals(2, membership.metrics().implausibleIncarnation);
        assertEquals(PeerState.ALIVE, membership.state(5));
        long incarnation = membership.incarnation();
        receive(
                2,
                message(
                        2,
                        2,
                        INCARNATION,
                        Kind.GOSSIP,
                        List.of(new Update(0, Status.FAULTY, 1, incarnation + 1000)),
                        List.of()));
        assertEquals(incarnation + 1001, membership.incarnation());
    }

    @Test
    void invalidSettingIsNamedInTheError() {
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
