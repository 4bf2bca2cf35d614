package martenlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import martenlatch.gossip.Message.Update;

/**
 * Tracks the membership of the sidecars of a tier. Each member probes the peers that it watches once a period. A peer
 * that answers neither directly nor through other members is suspected. A suspect from which no member receives a
 * message for long enough is declared faulty by the members whose own probes of it failed. Updates are carried by
 * probes and by gossip messages.
 *
 * <p>The protocol follows SWIM (Das, Gupta, Motivala, DSN 2002), with the local health of Lifeguard and the probing
 * rings of Rapid, and has two rules of its own: a member that receives a message from a suspect reports this, and many
 * peers that fall silent at once are treated as a partition and not as that many deaths.
 *
 * <p>The class does no I/O, reads no clock and is used by one thread. Times are milliseconds since 1970 on a clock that
 * does not go back.
 */
public final class GossipMembership {

    /** Sends the datagrams of a member and receives its state changes. */
    public interface Environment {
        /** Sends a datagram to the peer with the number {@code to}. */
        void send(int to, byte[] datagram);

        /** Called when the state of a peer changes in the view of this member. */
        void onStateChanged(int peer, PeerState previous, PeerState current);
    }

    /** The interval at which {@link #tick} is to be called, in milliseconds. */
    public static final double TICK_MS = 50;
    /** A tick that is later than this shows that the process was paused, and not that a timer is inaccurate. */
    private static final double MIN_PAUSE_MS = 300;
    /** After a pause of this length other members may suspect this one. */
    private static final double LONG_PAUSE_MS = 700;

    private static final double GOSSIP_INTERVAL_MS = 200;
    private static final int GOSSIP_FANOUT = 3;
    /** The interval at which a member that receives no messages announces itself: others may still receive its own. */
    private static final double CUT_OFF_ANNOUNCE_INTERVAL_MS = 5000;
    /** The number of random peers to which a member announces itself, in addition to its neighbours on the rings. */
    private static final int ANNOUNCE_RANDOM_PEERS = 5;
    /** The number of random peers that are notified of a leave, in addition to the watchers. */
    private static final int LEAVE_RANDOM_PEERS = 8;

    private final GossipSettings settings;
    private final SplittableRandom random;
    private final GossipMetrics metrics = new GossipMetrics();
    private final MemberTable members;
    private final DisseminationQueue disseminationQueue;
    private final LocalMember self;
    private final GossipSender sender;
    private final MemberChanges changes;
    private final PeerSelector selector;
    private final SuspicionTracker suspicions;
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;
    private final UpdateMerger merger;
    private double nextGossipMs;
    private double nextAnnounceMs;
    /** The time of the next tick; NaN before the start. */
    private double nextTickMs = Double.NaN;

    /** Creates a member that has not started. */
    public GossipMembership(GossipSettings settings, long seed, Environment environment) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        members = new MemberTable(settings.memberCount());
        disseminationQueue = new DisseminationQueue(settings.memberCount());
        AdaptiveTimeout timeout = new AdaptiveTimeout();
        PartitionDetector partitions = new PartitionDetector(settings.memberCount());
        self = new LocalMember(settings, disseminationQueue, timeout, metrics);
        sender = new GossipSender(
                settings,
                self,
                new BandwidthLimitedSender(settings.bytesPerSecond(), environment, disseminationQueue, metrics));
        changes = new MemberChanges(members, disseminationQueue, partitions, environment);
        selector = new PeerSelector(settings.self(), members, random);
        suspicions =
                new SuspicionTracker(settings, self, members, changes, disseminationQueue, sender, timeout, metrics);
        DigestCursor digests = new DigestCursor(settings.self(), members);
        failureDetector = new FailureDetector(
                settings,
                self,
                members,
                changes,
                suspicions,
                partitions,
                selector,
                sender,
                timeout,
                metrics,
                random,
                digests);
        antiEntropy = new AntiEntropy(self, members, selector, sender, failureDetector, digests);
        merger = new UpdateMerger(self, members, changes, suspicions, failureDetector, antiEntropy, sender, metrics);
    }

    /** Starts a new incarnation and announces it to some peers; returns the time of the first tick. */
    public double start(double nowMs) {
        self.start(nowMs);
        nextAnnounceMs = nowMs + CUT_OFF_ANNOUNCE_INTERVAL_MS;
        failureDetector.start(nowMs);
        nextGossipMs = nowMs + random.nextDouble() * GOSSIP_INTERVAL_MS;
        antiEntropy.start(nowMs, random);
        announce(nowMs, number -> true);
        nextTickMs = nowMs + TICK_MS;
        return nextTickMs;
    }

    /** Does the periodic work; returns the time of the next tick. */
    public double tick(double nowMs) {
        checkForPause(nowMs);
        failureDetector.advanceProbes(nowMs);
        suspicions.checkExpiry(nowMs);
        failureDetector.probeNextWhenDue(nowMs);
        antiEntropy.compareWhenDue(nowMs);
        if (nowMs >= nextGossipMs) {
            nextGossipMs = Math.max(nextGossipMs + GOSSIP_INTERVAL_MS, nowMs);
            gossip(nowMs);
        }
        if (self.isCutOff(nowMs) && nowMs >= nextAnnounceMs) {
            nextAnnounceMs = nowMs + CUT_OFF_ANNOUNCE_INTERVAL_MS;
            self.raiseIncarnation(self.incarnation());
            announce(nowMs, number -> true);
        }
        failureDetector.removeExpiredRelays(nowMs);
        nextTickMs = nowMs + TICK_MS;
        return nextTickMs;
    }

    /** Starts to leave. {@link #tick} keeps reporting the leave for as long as the process exists. */
    public void leave(double nowMs) {
        if (self.isLeaving()) {
            return;
        }
        self.startLeaving();
        Update left = self.asUpdate();
        disseminationQueue.enqueue(left);
        Set<Integer> notified = selector.watchersAndRandom(LEAVE_RANDOM_PEERS);
        notified.forEach(to -> sender.sendUpdates(nowMs, to, List.of(left)));
    }

    /**
     * Called when a datagram arrives.
     *
     * @param address the number of the peer from whose address it came, or below 0 if the address is no peer's
     */
    public void receive(double nowMs, int address, byte[] datagram) {
        checkForPause(nowMs);
        Message message = MessageCodec.decode(datagram);
        if (message == null || message.from() >= members.size()) {
            metrics.malformed++;
        } else if (address < 0 || message.from() != address || message.from() == settings.self()) {
            metrics.wrongSender++;
        } else if (message.tier() != settings.tier()) {
            metrics.otherTier++;
        } else if (!Incarnations.isPlausible(message.incarnation(), nowMs)) {
            metrics.implausibleIncarnation++;
        } else {
            accept(nowMs, members.get(message.from()), message);
        }
    }

    private void accept(double nowMs, Member peer, Message message) {
        if (message.incarnation() < peer.incarnation) {
            metrics.earlierIncarnation++;
            // A process that was restarted with its clock set back must know which incarnation it has to exceed.
            sender.sendUpdates(nowMs, peer.number, List.of(peer.asUpdate()));
            return;
        }
        metrics.received++;
        self.onHeard(nowMs);
        merger.onHeard(nowMs, peer, message);
        merger.merge(nowMs, peer, message);
        message.accusations().forEach(accusation -> suspicions.onAccusation(nowMs, accusation));
        switch (message.kind()) {
            case PING -> {
                if (message.target() == settings.self()) {
                    List<Update> updates = antiEntropy.differences(nowMs, peer, message.digests());
                    sender.ack(nowMs, peer.number, message.sequence(), updates);
                }
            }
            case ACK -> failureDetector.onAck(nowMs, peer, message);
            case PROBE_REQUEST -> failureDetector.onProbeRequest(nowMs, peer, message);
            default -> {}
        }
    }

    /** Detects a pause of this process at the first tick or datagram after it. */
    private void checkForPause(double nowMs) {
        double lateMs = nowMs - nextTickMs;
        if (Double.isNaN(lateMs) || lateMs <= MIN_PAUSE_MS) {
            return;
        }
        nextTickMs = nowMs + TICK_MS;
        metrics.pauses++;
        self.onPaused(nowMs);
        failureDetector.onPaused();
        suspicions.onPaused(lateMs);
        if (lateMs >= LONG_PAUSE_MS) {
            self.raiseIncarnation(self.incarnation());
            announce(nowMs, selector::isAlive);
            antiEntropy.onPaused(nowMs, lateMs);
        }
    }

    private void announce(double nowMs, IntPredicate filter) {
        selector.neighboursAndRandom(ANNOUNCE_RANDOM_PEERS, filter)
                .forEach(to -> failureDetector.probe(nowMs, to, false));
    }

    private void gossip(double nowMs) {
        for (int i = 0; i < GOSSIP_FANOUT && !disseminationQueue.isEmpty(); i++) {
            int to = selector.random(number -> members.get(number).mayBeAlive());
            if (to < 0 || !sender.mayGossip(nowMs)) {
                return;
            }
            sender.gossip(nowMs, to);
        }
    }

    /** Returns the current view of the membership. */
    public PeerView view(double nowMs) {
        boolean cutOff = self.isCutOff(nowMs);
        boolean partitioned = changes.isPartitioned(nowMs);
        boolean uncertain = cutOff || partitioned || antiEntropy.isCatchingUp(nowMs);
        ViewBuilder builder = new ViewBuilder(settings.zone());
        for (int i = 0; i < members.size(); i++) {
            if (i != settings.self()) {
                Member peer = members.get(i);
                boolean alive = peer.isIn(PeerState.ALIVE) && !cutOff;
                boolean mayBeAlive = peer.mayBeAlive() || (uncertain && !peer.isIn(PeerState.LEFT));
                builder.add(peer.zone, alive, mayBeAlive);
            }
        }
        return new PeerView(members.size(), builder.atLeast(), builder.atMost(), builder.zones(), cutOff, partitioned);
    }

    /** Counts members by zone, including this one. */
    private static final class ViewBuilder {
        /** The lower and upper bound of each zone, without members of unknown zone. */
        private final List<int[]> byZone = new ArrayList<>();

        private int atLeast = 1;
        private int atMost = 1;
        /** The members that may be alive and whose zone is not known. */
        private int mayBeAliveInUnknownZone;

        ViewBuilder(int ownZone) {
            counts(ownZone)[0]++;
            counts(ownZone)[1]++;
        }

        private int[] counts(int zone) {
            while (byZone.size() <= zone) {
                byZone.add(new int[2]);
            }
            return byZone.get(zone);
        }

        void add(int zone, boolean alive, boolean mayBeAlive) {
            atLeast += alive ? 1 : 0;
            atMost += mayBeAlive ? 1 : 0;
            if (zone < 0) {
                mayBeAliveInUnknownZone += mayBeAlive ? 1 : 0;
            } else {
                counts(zone)[0] += alive ? 1 : 0;
                counts(zone)[1] += mayBeAlive ? 1 : 0;
            }
        }

        int atLeast() {
            return atLeast;
        }

        int atMost() {
            return atMost;
        }

        List<PeerView.Bounds> zones() {
            return byZone.stream()
                    .map(counts -> new PeerView.Bounds(counts[0], counts[1] + mayBeAliveInUnknownZone))
                    .toList();
        }
    }

    /** Returns the state of a peer in the view of this member. */
    public PeerState state(int peer) {
        if (peer != settings.self()) {
            return members.get(peer).state;
        }
        return self.isLeaving() ? PeerState.LEFT : PeerState.ALIVE;
    }

    /** Returns the counters of sent, received and dropped messages. */
    public GossipMetrics metrics() {
        return metrics;
    }

    /** Returns the current incarnation, which orders the runs of this member and its refutations. */
    public long incarnation() {
        return self.incarnation();
    }

    /** Returns the sizes of the tables: probes, relays, and items queued for dissemination. */
    public List<Integer> tableSizes() {
        List<Integer> sizes = new ArrayList<>(failureDetector.tableSizes());
        sizes.add(disseminationQueue.size());
        return sizes;
    }
}
