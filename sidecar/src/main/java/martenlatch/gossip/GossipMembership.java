package martenlatch.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import martenlatch.gossip.Message.Update;

/**
 * Membership among the sidecars of a tier. Each member probes the peers that it watches once a period; a peer that
 * answers neither directly nor through others is suspected, and declared faulty by those that found out themselves
 * once nobody has heard it for long enough. News travels with probes and as gossip. After SWIM (Das, Gupta, Motivala,
 * DSN 2002), with Lifeguard's local health, watchers on rings as in Rapid, and two rules of its own: a member that
 * hears a suspect says so, and many silent at once are a partition and not many deaths.
 *
 * <p>No I/O, no clock, one thread. Times are milliseconds since 1970 on a clock that does not go back.
 */
public final class GossipMembership {

    /** Carries out what a member decides. */
    public interface Environment {
        /** Sends a datagram to a peer, by its number. */
        void send(int to, byte[] datagram);

        /** Something else is believed of a peer from now on. */
        void onStateChanged(int peer, PeerState before, PeerState now);
    }

    /** The interval at which {@link #tick} is to be called, in milliseconds. */
    public static final double TICK_MS = 50;
    /** A tick so late is no inaccuracy of a timer: the process was paused. */
    private static final double PAUSED_MS = 300;
    /** A pause so long may have had this member suspected. */
    private static final double SUSPECTED_MS = 700;

    private static final double GOSSIP_INTERVAL_MS = 200;
    private static final int GOSSIP_FANOUT = 3;
    /** How often a member that hears nobody announces itself: others may hear it. */
    private static final double CUT_OFF_ANNOUNCE_MS = 5000;
    /** Random peers that hear of a start, beside the neighbours on the rings. */
    private static final int GREETED = 5;
    /** Random peers that hear of a leave, beside the watchers. */
    private static final int TOLD_OF_LEAVE = 8;

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
    /** When the next tick is due; NaN before the start. */
    private double dueMs = Double.NaN;

    /** Creates a member that has not started. */
    public GossipMembership(GossipSettings settings, long seed, Environment environment) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        members = new MemberTable(settings.told());
        disseminationQueue = new DisseminationQueue(settings.told());
        AdaptiveTimeout timeout = new AdaptiveTimeout();
        PartitionDetector partitions = new PartitionDetector(settings.told());
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

    /** Starts a new life, and tells some peers of it; returns when the first tick is due. */
    public double start(double nowMs) {
        self.start(nowMs);
        nextAnnounceMs = nowMs + CUT_OFF_ANNOUNCE_MS;
        failureDetector.start(nowMs);
        nextGossipMs = nowMs + random.nextDouble() * GOSSIP_INTERVAL_MS;
        antiEntropy.start(nowMs, random);
        greet(nowMs, number -> true);
        dueMs = nowMs + TICK_MS;
        return dueMs;
    }

    /** To be called when it is due; returns when it is due next. */
    public double tick(double nowMs) {
        checkForPause(nowMs);
        failureDetector.advanceProbes(nowMs);
        suspicions.review(nowMs);
        failureDetector.probeNextWhenDue(nowMs);
        antiEntropy.compareWhenDue(nowMs);
        if (nowMs >= nextGossipMs) {
            nextGossipMs = Math.max(nextGossipMs + GOSSIP_INTERVAL_MS, nowMs);
            gossip(nowMs);
        }
        if (self.isCutOff(nowMs) && nowMs >= nextAnnounceMs) {
            nextAnnounceMs = nowMs + CUT_OFF_ANNOUNCE_MS;
            self.announceAnew(self.incarnation());
            greet(nowMs, number -> true);
        }
        failureDetector.dropOldRelays(nowMs);
        dueMs = nowMs + TICK_MS;
        return dueMs;
    }

    /** Leaves; {@link #tick} goes on telling that for as long as the process exists. */
    public void leave(double nowMs) {
        if (self.isLeaving()) {
            return;
        }
        self.startLeaving();
        Update left = self.asUpdate();
        disseminationQueue.put(left);
        Set<Integer> told = selector.watchersAnd(TOLD_OF_LEAVE);
        told.forEach(to -> sender.tell(nowMs, to, List.of(left)));
    }

    /**
     * A datagram has been received.
     *
     * @param address the number of the peer from whose address it came, or below 0 for nobody's
     */
    public void receive(double nowMs, int address, byte[] datagram) {
        checkForPause(nowMs);
        Message message = MessageCodec.decode(datagram);
        if (message == null || message.from() >= members.size()) {
            metrics.malformed++;
        } else if (address < 0 || message.from() != address || message.from() == settings.self()) {
            metrics.foreign++;
        } else if (message.tier() != settings.tier()) {
            metrics.otherTier++;
        } else if (!Incarnations.isSane(message.incarnation(), nowMs)) {
            metrics.insane++;
        } else {
            accept(nowMs, members.get(message.from()), message);
        }
    }

    private void accept(double nowMs, Member peer, Message message) {
        if (message.incarnation() < peer.incarnation) {
            metrics.earlierLife++;
            // A process that was started with its clock set back needs to know what it has to exceed.
            sender.tell(nowMs, peer.number, List.of(peer.asUpdate()));
            return;
        }
        metrics.heard++;
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
            case TRY -> failureDetector.onProbeRequest(nowMs, peer, message);
            default -> {}
        }
    }

    /** A pause of this process shows at the first thing that happens after it. */
    private void checkForPause(double nowMs) {
        double lateMs = nowMs - dueMs;
        if (Double.isNaN(lateMs) || lateMs <= PAUSED_MS) {
            return;
        }
        dueMs = nowMs + TICK_MS;
        metrics.pauses++;
        self.onPaused(nowMs);
        failureDetector.onPaused();
        suspicions.onPaused(lateMs);
        if (lateMs >= SUSPECTED_MS) {
            self.announceAnew(self.incarnation());
            greet(nowMs, selector::isAlive);
            antiEntropy.onPaused(nowMs, lateMs);
        }
    }

    private void greet(double nowMs, IntPredicate wanted) {
        selector.neighboursAnd(GREETED, wanted).forEach(to -> failureDetector.probe(nowMs, to, false));
    }

    private void gossip(double nowMs) {
        for (int i = 0; i < GOSSIP_FANOUT && !disseminationQueue.isEmpty(); i++) {
            int to = selector.random(number -> members.get(number).mayLive());
            if (to < 0 || !sender.mayGossip(nowMs)) {
                return;
            }
            sender.gossip(nowMs, to);
        }
    }

    /** What is believed now. */
    public PeerView view(double nowMs) {
        boolean cutOff = self.isCutOff(nowMs);
        boolean partitioned = changes.isPartitioned(nowMs);
        boolean unsure = cutOff || partitioned || antiEntropy.isCatchingUp(nowMs);
        ViewBuilder builder = new ViewBuilder(settings.zone());
        for (int i = 0; i < members.size(); i++) {
            if (i != settings.self()) {
                Member peer = members.get(i);
                boolean lives = peer.isIn(PeerState.ALIVE) && !cutOff;
                boolean mayLive = peer.mayLive() || (unsure && !peer.isIn(PeerState.LEFT));
                builder.add(peer.zone, lives, mayLive);
            }
        }
        return new PeerView(members.size(), builder.atLeast(), builder.atMost(), builder.zones(), cutOff, partitioned);
    }

    /** Counts members by zone, this one among them. */
    private static final class ViewBuilder {
        private final List<int[]> byZone = new ArrayList<>();
        private int atLeast = 1;
        private int atMost = 1;
        /** Members that may be alive in a zone that is not known. */
        private int unknownZone;

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

        void add(int zone, boolean lives, boolean mayLive) {
            atLeast += lives ? 1 : 0;
            atMost += mayLive ? 1 : 0;
            if (zone < 0) {
                unknownZone += mayLive ? 1 : 0;
            } else {
                counts(zone)[0] += lives ? 1 : 0;
                counts(zone)[1] += mayLive ? 1 : 0;
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
                    .map(counts -> new PeerView.Bounds(counts[0], counts[1] + unknownZone))
                    .toList();
        }
    }

    /** What is believed of one peer. */
    public PeerState state(int peer) {
        if (peer != settings.self()) {
            return members.get(peer).state;
        }
        return self.isLeaving() ? PeerState.LEFT : PeerState.ALIVE;
    }

    /** What this member has sent, received and dropped. */
    public GossipMetrics metrics() {
        return metrics;
    }

    /** The number that tells this life, and what it says of itself, from earlier ones. */
    public long incarnation() {
        return self.incarnation();
    }

    /** The sizes of the tables: probes, relays, and what waits to be disseminated. */
    public List<Integer> tableSizes() {
        List<Integer> sizes = new ArrayList<>(failureDetector.tableSizes());
        sizes.add(disseminationQueue.size());
        return sizes;
    }
}
