package martenlatch.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Update;

/**
 * Probes peers directly and through other members, and accuses those that do not answer (the failure detector of SWIM,
 * with the probed peers chosen on rings as in Rapid).
 */
final class FailureDetector {

    /** The number of peers that are asked to probe on behalf of this member. */
    private static final int HELPER_COUNT = 3;
    /** The maximum number of suspects accused by this member that are probed again in each period. */
    private static final int MAX_RETRIED_SUSPECTS = 4;
    /**
     * The additional probes after a failed one. In a partition into halves, six probes find two more unreachable peers
     * with probability 0.89, and each of these starts more probes.
     */
    private static final int EXTRA_PROBES = 6;

    private static final int MAX_PROBES = 64;
    private static final int MAX_RELAYS = 64;
    /** How long the answer to a relayed probe is awaited. */
    private static final double RELAY_TIMEOUT_MS = 3000;

    private static final int SEQUENCE_MASK = 0xffff;

    /** A probe on behalf of another member. */
    private record Relay(int origin, int sequence, int subject, double expiresMs) {}

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
    /** The probes in flight, by sequence number. */
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    /** The latest failed probes: a late answer to one still shows how long answers take. */
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

    /** Starts probing at a random time within the first slot. */
    void start(double nowMs) {
        nextSlotMs = nowMs + random.nextDouble() * slotMs();
    }

    /**
     * Returns the length of a probe slot. A period has one slot for each ring and one for peers that are not known to
     * be alive.
     */
    private double slotMs() {
        return settings.periodMs() / (ProbeRings.COUNT + 1);
    }

    /** Called when this member was paused: answers that it missed are no evidence against a peer. */
    void onPaused() {
        probes.clear();
        relays.clear();
        partitions.clear();
    }

    /**
     * Probes the next peer if a probe slot has begun. An unreliable member probes too: otherwise its peers would not
     * receive messages from it either.
     */
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
        int notAlive =
                selector.random(number -> !selector.isAlive(number) && members.get(number).state != PeerState.LEFT);
        if (notAlive >= 0) {
            probe(nowMs, notAlive, false);
        }
        if (changes.isPartitioned(nowMs)) {
            probeMore(nowMs, EXTRA_PROBES / 2);
        }
        retryOwnSuspects(nowMs);
    }

    private void retryOwnSuspects(double nowMs) {
        List<Member> ownSuspects = new ArrayList<>(members.suspects());
        ownSuspects.removeIf(suspect -> !suspect.suspicion.ownProbeFailed);
        for (int i = 0; i < Math.min(MAX_RETRIED_SUSPECTS, ownSuspects.size()); i++) {
            probe(nowMs, ownSuspects.get(random.nextInt(ownSuspects.size())).number, true);
        }
    }

    private boolean isProbing(int number) {
        return probes.values().stream().anyMatch(probe -> probe.subject == number);
    }

    /**
     * Starts a probe. If {@code accusesOnFailure}, its failure accuses the subject; otherwise it only checks whether
     * the subject answers.
     */
    void probe(double nowMs, int subject, boolean accusesOnFailure) {
        if (probes.size() >= MAX_PROBES) {
            return;
        }
        Probe probe = new Probe(subject, nextSequence(), nowMs, accusesOnFailure, metrics.received);
        if (ping(nowMs, probe)) {
            metrics.probes++;
            probes.put(probe.sequence, probe);
        }
    }

    /** Starts a probe that compares buckets of the member table; it is not repeated and accuses nobody. */
    void compare(double nowMs, int subject, List<Message.Digest> bucketDigests) {
        Probe probe = new Probe(subject, nextSequence(), nowMs, false, metrics.received);
        probe.pings = AdaptiveTimeout.PINGS_PER_PROBE;
        probe.comparedBuckets = bucketDigests.size();
        if (probes.size() < MAX_PROBES && sender.compare(nowMs, subject, probe.sequence, bucketDigests)) {
            probes.put(probe.sequence, probe);
        }
    }

    private int nextSequence() {
        sequence = (sequence + 1) & SEQUENCE_MASK;
        return sequence;
    }

    /** Returns the update that a peer must receive in order to refute it, or none. */
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

    /** Repeats pings, requests indirect probes, and ends the probes that were not answered in time. */
    void advanceProbes(double nowMs) {
        for (Probe probe : List.copyOf(probes.values())) {
            double waitedMs = nowMs - probe.sentMs;
            if (waitedMs >= timeout.probeTimeoutMs()) {
                probes.remove(probe.sequence);
                failed.put(probe.sequence, probe);
                onFailed(nowMs, probe);
            } else if (probe.pings < AdaptiveTimeout.PINGS_PER_PROBE && waitedMs >= probe.pings * timeout.pingGapMs()) {
                probe.pings++;
                ping(nowMs, probe);
            } else if (needsHelp(nowMs, probe, waitedMs)) {
                probe.helpRequested = true;
                selector.randomAliveExcept(probe.subject, HELPER_COUNT)
                        .forEach(helper -> sender.requestProbe(nowMs, helper, probe.sequence, probe.subject));
            }
        }
    }

    private boolean needsHelp(double nowMs, Probe probe, double waitedMs) {
        return !probe.helpRequested
                && probe.accusesOnFailure
                && !changes.isPartitioned(nowMs)
                && waitedMs >= (AdaptiveTimeout.PINGS_PER_PROBE - 1) * timeout.pingGapMs();
    }

    private void onFailed(double nowMs, Probe probe) {
        if (!probe.accusesOnFailure) {
            return;
        }
        metrics.failedProbes++;
        Member subject = members.get(probe.subject);
        // A member that received nothing in the meantime may itself be cut off. It keeps probing so that others receive
        // its messages.
        boolean receivedNothing = metrics.received == probe.receivedBefore;
        if (subject.isIn(PeerState.ALIVE) && !receivedNothing) {
            timeout.onUnhealthy();
        }
        boolean unreliable = receivedNothing || self.isUnreliable(nowMs);
        if (unreliable || subject.lastHeardMs >= probe.sentMs || !subject.mayBeAlive()) {
            return;
        }
        metrics.accused++;
        partitions.onProbeEnded(nowMs, probe.subject, false);
        boolean isNew = !subject.isIn(PeerState.SUSPECT) || !subject.suspicion.ownProbeFailed;
        if (!changes.isPartitioned(nowMs) && isNew) {
            probeMore(nowMs, EXTRA_PROBES);
        }
        suspicions.accuse(nowMs, subject);
    }

    /** Probes more random peers at once: a partition must be detected before suspects are declared faulty. */
    private void probeMore(double nowMs, int count) {
        for (int i = 0; i < count; i++) {
            int other = selector.randomAlive();
            if (other >= 0 && !isProbing(other)) {
                probe(nowMs, other, true);
            }
        }
    }

    /** Called when a peer requests that this member probes another. */
    void onProbeRequest(double nowMs, Member peer, Message message) {
        int subject = message.target();
        if (subject >= members.size() || subject == self.number() || relays.size() >= MAX_RELAYS) {
            return;
        }
        int relaySequence = nextSequence();
        relays.put(relaySequence, new Relay(peer.number, message.sequence(), subject, nowMs + RELAY_TIMEOUT_MS));
        sender.pingForOther(nowMs, subject, relaySequence, updatesToRefute(subject));
    }

    /** Removes the relays whose subject has not answered in time. */
    void removeExpiredRelays(double nowMs) {
        relays.values().removeIf(relay -> relay.expiresMs() < nowMs);
    }

    /** Returns the number of buckets that the probe answered by this message compared, or 0 if it answers none. */
    int comparedBuckets(Member peer, Message message) {
        Probe probe = probes.get(message.sequence());
        return probe != null && probe.subject == peer.number ? probe.comparedBuckets : 0;
    }

    /** Called when an answer to a probe of this member, or to a relayed one, arrives. */
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
        if (probe.accusesOnFailure) {
            partitions.onProbeEnded(nowMs, probe.subject, true);
        }
        Member subject = members.get(probe.subject);
        if (!direct && subject.isIn(PeerState.SUSPECT)) {
            // The subject has just answered another member.
            suspicions.onSubjectHeard(nowMs, subject);
        }
    }

    /** Returns the numbers of probes and of relays in the tables. */
    List<Integer> tableSizes() {
        return List.of(probes.size() + failed.size(), relays.size());
    }
}
