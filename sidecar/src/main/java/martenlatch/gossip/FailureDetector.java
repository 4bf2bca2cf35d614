package martenlatch.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Update;

/**
 * Probes peers, directly and through others, and accuses those that do not answer (SWIM's failure detector, with the
 * watched peers on rings as in Rapid).
 */
final class FailureDetector {

    /** Peers that are asked to probe on this member's behalf. */
    private static final int HELPERS = 3;
    /** Own suspects that are probed again in each period. */
    private static final int RETRIED_SUSPECTS = 4;
    /** In a partition of one half, six probes find two more with probability 0.89, and each of those goes on. */
    private static final int WIDENING = 6;

    private static final int MAX_PROBES = 64;
    private static final int MAX_RELAYS = 64;
    private static final double RELAY_MS = 3000;
    private static final int SEQUENCE_MASK = 0xffff;

    /** A probe on behalf of another member. */
    private record Relay(int origin, int sequence, int subject, double untilMs) {}

    private final GossipSettings settings;
    private final LocalMember self;
    private final MemberTable members;
    private final MemberChanges changes;
    private final SuspicionTracker suspicions;
    private final PartitionDetector partitions;
    private final PeerSelector selector;
    private final GossipSender sender;
    private final AdaptiveTimeout timeout;
    private final GossipMetrics metrics;
    private final SplittableRandom random;
    private final DigestCursor digests;
    /** Probes in flight, by sequence number. */
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    /** Probes that have failed: a late answer still tells how long answers take. */
    private final Map<Integer, Probe> failed = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Probe> eldest) {
            return size() > MAX_PROBES;
        }
    };

    private final Map<Integer, Relay> relays = new LinkedHashMap<>();
    private int sequence;
    private int slot;
    private double nextSlotMs;

    FailureDetector(
            GossipSettings settings,
            LocalMember self,
            MemberTable members,
            MemberChanges changes,
            SuspicionTracker suspicions,
            PartitionDetector partitions,
            PeerSelector selector,
            GossipSender sender,
            AdaptiveTimeout timeout,
            GossipMetrics metrics,
            SplittableRandom random,
            DigestCursor digests) {
        this.settings = settings;
        this.self = self;
        this.members = members;
        this.changes = changes;
        this.suspicions = suspicions;
        this.partitions = partitions;
        this.selector = selector;
        this.sender = sender;
        this.timeout = timeout;
        this.metrics = metrics;
        this.random = random;
        this.digests = digests;
    }

    void start(double nowMs) {
        nextSlotMs = nowMs + random.nextDouble() * slotMs();
    }

    /** Each ring has a slot in a period, and one is for peers that are not known to be alive. */
    private double slotMs() {
        return settings.periodMs() / (ProbeRings.COUNT + 1);
    }

    /** This member was paused: answers that it missed speak against nobody. */
    void onPaused() {
        probes.clear();
        relays.clear();
        partitions.clear();
    }

    /** Probes the peer whose turn it is. A member that is unwell goes on: otherwise it would not be heard either. */
    void probeNextWhenDue(double nowMs) {
        if (nowMs >= nextSlotMs) {
            nextSlotMs = Math.max(nextSlotMs + slotMs(), nowMs);
            probeNext(nowMs);
        }
    }

    private void probeNext(double nowMs) {
        int ring = slot++ % (ProbeRings.COUNT + 1);
        if (ring < ProbeRings.COUNT) {
            int watched = selector.watchedOn(ring);
            if (watched >= 0 && !isProbing(watched)) {
                probe(nowMs, watched, true);
            }
            return;
        }
        int silent =
                selector.random(number -> !selector.isAlive(number) && members.get(number).state != PeerState.LEFT);
        if (silent >= 0) {
            probe(nowMs, silent, false);
        }
        if (changes.isPartitioned(nowMs)) {
            widen(nowMs, WIDENING / 2);
        }
        retryOwnSuspects(nowMs);
    }

    private void retryOwnSuspects(double nowMs) {
        List<Member> own = new ArrayList<>(members.suspects());
        own.removeIf(suspect -> !suspect.suspicion.own);
        for (int i = 0; i < Math.min(RETRIED_SUSPECTS, own.size()); i++) {
            probe(nowMs, own.get(random.nextInt(own.size())).number, true);
        }
    }

    private boolean isProbing(int number) {
        return probes.values().stream().anyMatch(probe -> probe.subject == number);
    }

    /** Starts a probe; its failure accuses the subject, or it is only to find out. */
    void probe(double nowMs, int subject, boolean accuses) {
        if (probes.size() >= MAX_PROBES) {
            return;
        }
        Probe probe = new Probe(subject, nextSequence(), nowMs, accuses, metrics.heard);
        if (ping(nowMs, probe)) {
            metrics.probes++;
            probes.put(probe.sequence, probe);
        }
    }

    /** Starts a probe that compares so many parts of the tables; it is not repeated, and accuses nobody. */
    void compare(double nowMs, int subject, List<Message.Digest> parts) {
        Probe probe = new Probe(subject, nextSequence(), nowMs, false, metrics.heard);
        probe.pings = AdaptiveTimeout.PINGS;
        probe.comparedParts = parts.size();
        if (probes.size() < MAX_PROBES && sender.compare(nowMs, subject, probe.sequence, parts)) {
            probes.put(probe.sequence, probe);
        }
    }

    private int nextSequence() {
        sequence = (sequence + 1) & SEQUENCE_MASK;
        return sequence;
    }

    /** What a peer must know to refute it. */
    private List<Update> updatesToRefute(int number) {
        Member subject = members.get(number);
        boolean hasEnded = subject.isIn(PeerState.FAULTY) || subject.isIn(PeerState.LEFT);
        return hasEnded ? List.of(subject.asUpdate()) : List.of();
    }

    private boolean ping(double nowMs, Probe probe) {
        Member subject = members.get(probe.subject);
        List<Accusation> accusations = subject.isIn(PeerState.SUSPECT)
                ? List.of(new Accusation(subject.number, subject.incarnation, self.number()))
                : List.of();
        return sender.ping(
                nowMs,
                probe.subject,
                probe.sequence,
                updatesToRefute(probe.subject),
                accusations,
                digests.next(self.incarnation()));
    }

    /** Repeats pings, asks others for help, and ends the probes that nobody has answered. */
    void advanceProbes(double nowMs) {
        for (Probe probe : List.copyOf(probes.values())) {
            double waitedMs = nowMs - probe.sentMs;
            if (waitedMs >= timeout.probeMs()) {
                probes.remove(probe.sequence);
                failed.put(probe.sequence, probe);
                onFailed(nowMs, probe);
            } else if (probe.pings < AdaptiveTimeout.PINGS && waitedMs >= probe.pings * timeout.pingGapMs()) {
                probe.pings++;
                ping(nowMs, probe);
            } else if (needsHelp(nowMs, probe, waitedMs)) {
                probe.helpRequested = true;
                selector.randomAliveExcept(probe.subject, HELPERS)
                        .forEach(helper -> sender.requestProbe(nowMs, helper, probe.sequence, probe.subject));
            }
        }
    }

    private boolean needsHelp(double nowMs, Probe probe, double waitedMs) {
        return !probe.helpRequested
                && probe.accuses
                && !changes.isPartitioned(nowMs)
                && waitedMs >= (AdaptiveTimeout.PINGS - 1) * timeout.pingGapMs();
    }

    private void onFailed(double nowMs, Probe probe) {
        if (!probe.accuses) {
            return;
        }
        metrics.failedProbes++;
        Member subject = members.get(probe.subject);
        // A member that heard nobody meanwhile has learned about itself, and has to go on to be heard.
        boolean heardNobody = metrics.heard == probe.heardBefore;
        if (subject.isIn(PeerState.ALIVE) && !heardNobody) {
            timeout.onUnhealthy();
        }
        boolean unreliable = heardNobody || self.isUnreliable(nowMs);
        if (unreliable || subject.heardMs >= probe.sentMs || !subject.mayLive()) {
            return;
        }
        metrics.accused++;
        partitions.onProbeEnded(nowMs, probe.subject, false);
        boolean isNew = !subject.isIn(PeerState.SUSPECT) || !subject.suspicion.own;
        if (!changes.isPartitioned(nowMs) && isNew) {
            widen(nowMs, WIDENING);
        }
        suspicions.accuse(nowMs, subject);
    }

    /** Probes some more peers at once: a partition must show before a death is believed. */
    private void widen(double nowMs, int count) {
        for (int i = 0; i < count; i++) {
            int other = selector.randomAlive();
            if (other >= 0 && !isProbing(other)) {
                probe(nowMs, other, true);
            }
        }
    }

    /** A peer asks this member to probe another. */
    void onProbeRequest(double nowMs, Member peer, Message message) {
        int subject = message.target();
        if (subject >= members.size() || subject == self.number() || relays.size() >= MAX_RELAYS) {
            return;
        }
        int own = nextSequence();
        relays.put(own, new Relay(peer.number, message.sequence(), subject, nowMs + RELAY_MS));
        sender.pingForOther(nowMs, subject, own, updatesToRefute(subject));
    }

    void dropOldRelays(double nowMs) {
        relays.values().removeIf(relay -> relay.untilMs() < nowMs);
    }

    /** The parts of the tables that the probe which this message answers has compared; 0 if it answers none. */
    int comparedParts(Member peer, Message message) {
        Probe probe = probes.get(message.sequence());
        return probe != null && probe.subject == peer.number ? probe.comparedParts : 0;
    }

    void onAck(double nowMs, Member peer, Message message) {
        Relay relay = relays.remove(message.sequence());
        if (relay != null && relay.subject() == peer.number) {
            sender.ackForOther(nowMs, relay.origin(), relay.sequence(), relay.subject());
            return;
        }
        Probe late = failed.remove(message.sequence());
        Probe inTime = probes.remove(message.sequence());
        Probe answered = inTime != null ? inTime : late;
        if (answered == null || answered.subject != message.target()) {
            return;
        }
        boolean direct = answered.subject == peer.number;
        if (direct) {
            timeout.onAnswer(nowMs - answered.sentMs);
        }
        if (inTime != null) {
            onAnswered(nowMs, inTime, direct);
        }
    }

    private void onAnswered(double nowMs, Probe probe, boolean direct) {
        timeout.onHealthy();
        if (probe.accuses) {
            partitions.onProbeEnded(nowMs, probe.subject, true);
        }
        Member subject = members.get(probe.subject);
        if (!direct && subject.isIn(PeerState.SUSPECT)) {
            // Another member has just had its answer.
            suspicions.acquit(nowMs, subject);
        }
    }

    /** The numbers of probes and of relays in the tables. */
    List<Integer> tableSizes() {
        return List.of(probes.size() + failed.size(), relays.size());
    }
}
