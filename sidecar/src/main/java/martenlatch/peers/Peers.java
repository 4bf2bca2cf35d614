package martenlatch.peers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import martenlatch.peers.Message.Accusation;
import martenlatch.peers.Message.Digest;
import martenlatch.peers.Message.Kind;
import martenlatch.peers.Message.Update;
import martenlatch.peers.Message.Word;

/**
 * Membership among the sidecars of a tier. Each member tries, once a period, those that it watches; who does
 * not answer, neither straight nor to others' tries, is suspected, and called faulty by those who found out
 * themselves once nobody has heard it for long enough. News go with probes and as gossip. After SWIM (Das,
 * Gupta, Motivala, DSN 2002), with Lifeguard's local health, watchers on rings as Rapid has them, and two
 * rules of its own: whoever hears a member says so, and many at once are a cut and not many deaths.
 *
 * <p>No I/O, no clock, one thread. Times are milliseconds since 1970 on a clock that does not go back.
 */
public final class Peers {

    /** Carries out what a member wants. */
    public interface Line {
        /** Sends a datagram to a peer, by its number. */
        void send(int to, byte[] datagram);

        /** Something else is believed of a peer from now on. */
        void changed(int peer, PeerState before, PeerState now);
    }

    /** How often {@link #tick} wants to be called. */
    public static final double TICK_MS = 50;
    /** A tick so late is no timer's inaccuracy: we stood still, and what we missed speaks against nobody. */
    private static final double LATE_MS = 300;
    /** Standing still for so long may have had us suspected. */
    private static final double SUSPECTED_MS = 700;

    private static final double GOSSIP_MS = 200;
    private static final int FANOUT = 3;
    private static final int HELPERS = 3;
    /** Whoever was heard so lately lives: less than a probe takes to fail, so it was after its beginning. */
    private static final double FRESH_MS = 600;
    /** The shortest a suspicion lasts when several agree: news go there and back within it. */
    private static final double LEAST_SUSPICION_MS = 1500;
    /** So many times as long where nobody else has found the same. */
    private static final double ALONE_TIMES = 3;
    /** Others that agree and shorten a suspicion to its least (Lifeguard, section IV-C). */
    private static final int AGREEING = 2;
    /** Longer than operators and networks take to mend a cut; then silence is death after all. */
    private static final double MASS_HOLD_MS = 120_000;
    /** So many periods without a word of anybody, and we take ourselves to be cut off. */
    private static final double CUT_OFF_PERIODS = 1.5;
    /** So often somebody who hears nobody says anew that it lives: others may hear it. */
    private static final double CRY_MS = 5000;

    private static final double REFUTE_MS = 200;
    private static final int GREETED = 5;
    /** Suspects of our own that are tried again a period. */
    private static final int RETRIED = 4;
    /** Of a cut that parts half off, six find two more with 0.89, and each of those looks on. */
    private static final int WIDENED = 6;

    private static final int GOODBYES = 8;
    /** Parts compared at once: their answers are another's whole message. */
    private static final int DIGESTS = 4;

    private static final double CATCH_UP_MS = 200;
    /** So many new lives in one message: there are more than news bring, and all parts are compared. */
    private static final int BEHIND = 4;
    /** Two messages full. */
    private static final int MANY_NEWS = 64;

    private static final double MOST_CATCH_UP_MS = 30_000;
    private static final int MOST_PROBES = 64;
    private static final int MOST_RELAYS = 64;
    private static final double RELAY_MS = 3000;

    /** A try on behalf of another. */
    private record Relay(int origin, int sequence, int subject, double untilMs) {}

    private final PeerSettings settings;
    private final Line line;
    private final Voice voice;
    private final SplittableRandom random;
    private final Roster roster;
    private final Rings rings;
    private final News news;
    private final CutWatch cuts;
    private final Patience patience = new Patience();
    private final Counts counts = new Counts();
    /** By sequence; what has ended stays for a while, as a late answer tells how long answers take. */
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();

    private final Map<Integer, Probe> ended = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Probe> eldest) {
            return size() > MOST_PROBES;
        }
    };
    private final Map<Integer, Relay> relays = new LinkedHashMap<>();
    private long incarnation;
    private int sequence;
    private int slot;
    private double nextSlot;
    private double nextGossip;
    private double nextCatchUp;
    private double catchUpUntil;
    private int cleanParts;
    private int nextPart;
    /** When the next tick is due; NaN before the start. */
    private double dueMs = Double.NaN;

    private double awayUntil = Double.NEGATIVE_INFINITY;
    private double heardAnyMs;
    private double nextCry;
    private double lastRefute = Double.NEGATIVE_INFINITY;
    private boolean leaving;

    /** A member that has not started. */
    public Peers(PeerSettings settings, long seed, Line line) {
        this.settings = settings;
        this.line = line;
        random = new SplittableRandom(seed);
        roster = new Roster(settings.told());
        rings = new Rings(settings.told());
        news = new News(settings.told());
        cuts = new CutWatch(settings.told());
        voice = new Voice(settings.bytesPerSecond(), line, news, counts);
    }

    // ---- what the host calls ----

    /** Begins: a life of its own, and some others hear of it. */
    public double start(double now) {
        incarnation = Incarnations.at(now);
        heardAnyMs = now;
        nextCry = now + CRY_MS;
        nextSlot = now + random.nextDouble() * slotMs();
        nextGossip = now + random.nextDouble() * GOSSIP_MS;
        nextCatchUp = now;
        nextPart = random.nextInt(roster.parts());
        catchUpUntil = now + MOST_CATCH_UP_MS;
        greet(now, number -> true);
        dueMs = now + TICK_MS;
        return dueMs;
    }

    /** To be called when it is due; returns when it is due next. */
    public double tick(double now) {
        notice(now);
        endProbes(now);
        review(now);
        if (now >= nextSlot) {
            nextSlot = Math.max(nextSlot + slotMs(), now);
            probeNext(now);
        }
        catchUp(now);
        if (now >= nextGossip) {
            nextGossip = Math.max(nextGossip + GOSSIP_MS, now);
            gossip(now);
        }
        if (isCutOff(now) && now >= nextCry) {
            nextCry = now + CRY_MS;
            speakAnew(incarnation);
            greet(now, number -> true);
        }
        relays.values().removeIf(one -> one.untilMs() < now);
        dueMs = now + TICK_MS;
        return dueMs;
    }

    /** Says goodbye; {@link #tick} goes on spreading it for as long as the process is there. */
    public void leave(double now) {
        if (leaving) {
            return;
        }
        leaving = true;
        Update goodbye = new Update(settings.self(), Word.LEFT, settings.zone(), incarnation);
        news.put(goodbye);
        Set<Integer> told = new HashSet<>();
        for (int ring = 0; ring < Rings.COUNT; ring++) {
            told.add(rings.before(ring, settings.self(), this::isAlive));
        }
        for (int i = 0; i < GOODBYES; i++) {
            told.add(some(this::isAlive));
        }
        told.remove(-1);
        told.forEach(to -> send(now, to, Kind.GOSSIP, 0, to, List.of(goodbye), List.of(), List.of(), false));
    }

    /**
     * A datagram has come.
     *
     * @param address the number of the peer from whose address it came, or below 0 for nobody's
     */
    public void receive(double now, int address, byte[] datagram) {
        notice(now);
        Message message = MessageCodec.decode(datagram);
        if (message == null || message.from() >= roster.told()) {
            counts.malformed++;
        } else if (address < 0 || message.from() != address || message.from() == settings.self()) {
            counts.foreign++;
        } else if (message.tier() != settings.tier()) {
            counts.otherTier++;
        } else if (!Incarnations.isSane(message.incarnation(), now)) {
            counts.insane++;
        } else {
            Member peer = roster.get(message.from());
            if (message.incarnation() < peer.incarnation) {
                counts.earlierLife++;
                // A start whose clock was set back needs to know what it has to exceed.
                send(
                        now,
                        peer.number,
                        Kind.GOSSIP,
                        0,
                        peer.number,
                        List.of(peer.asUpdate()),
                        List.of(),
                        List.of(),
                        false);
                return;
            }
            counts.heard++;
            heardAnyMs = now;
            heard(now, peer, message);
            compare(now, peer, message);
            message.accusations().forEach(accusation -> accused(now, accusation));
            react(now, peer, message);
        }
    }

    /** What is believed now. */
    public PeerView view(double now) {
        int zones = settings.zone() + 1;
        for (int i = 0; i < roster.told(); i++) {
            zones = Math.max(zones, roster.get(i).zone + 1);
        }
        int[] least = new int[zones];
        int[] most = new int[zones];
        int unknown = 0;
        int sure = 1;
        int possible = 1;
        least[settings.zone()]++;
        most[settings.zone()]++;
        boolean cutOff = isCutOff(now);
        boolean unsure = cutOff || isMassed(now) || now < catchUpUntil;
        for (int i = 0; i < roster.told(); i++) {
            Member one = roster.get(i);
            if (i == settings.self()) {
                continue;
            }
            boolean lives = one.isIn(PeerState.ALIVE) && !cutOff;
            boolean may = one.mayLive() || unsure && !one.isIn(PeerState.LEFT);
            sure += lives ? 1 : 0;
            possible += may ? 1 : 0;
            if (one.zone < 0) {
                unknown += may ? 1 : 0;
            } else {
                least[one.zone] += lives ? 1 : 0;
                most[one.zone] += may ? 1 : 0;
            }
        }
        List<PeerView.Bounds> bounds = new ArrayList<>();
        for (int i = 0; i < zones; i++) {
            bounds.add(new PeerView.Bounds(least[i], most[i] + unknown));
        }
        return new PeerView(roster.told(), sure, possible, bounds, cutOff, isMassed(now));
    }

    /** What is believed of one. */
    public PeerState state(int peer) {
        return peer == settings.self() ? leaving ? PeerState.LEFT : PeerState.ALIVE : roster.get(peer).state;
    }

    public Counts counts() {
        return counts;
    }

    /** The number that tells this life, and what it says of itself, from earlier ones. */
    public long incarnation() {
        return incarnation;
    }

    /** What its tables hold: probes, tries for others, news. */
    public List<Integer> tableSizes() {
        return List.of(probes.size() + ended.size(), relays.size(), news.size());
    }

    // ---- ourselves ----

    /** Whether we stood still is seen at the first thing that happens after it. */
    private void notice(double now) {
        double late = now - dueMs;
        if (!(late > LATE_MS)) {
            return;
        }
        dueMs = now + TICK_MS;
        counts.away++;
        awayUntil = now + settings.periodMs();
        probes.clear();
        relays.clear();
        cuts.forget();
        heardAnyMs = now;
        for (Member suspect : roster.suspects()) {
            suspect.suspicion.sinceMs += late;
        }
        if (late >= SUSPECTED_MS) {
            speakAnew(incarnation);
            greet(now, this::isAlive);
            catchUpUntil = Math.max(catchUpUntil, now + Math.min(late, MOST_CATCH_UP_MS));
            cleanParts = 0;
        }
    }

    /** We say of ourselves what nobody said before. */
    private void speakAnew(long above) {
        incarnation = Math.max(incarnation, above) + 1;
        news.put(ourselves());
    }

    private Update ourselves() {
        return new Update(settings.self(), leaving ? Word.LEFT : Word.ALIVE, settings.zone(), incarnation);
    }

    private boolean isCutOff(double now) {
        return roster.told() > 1 && now - heardAnyMs > CUT_OFF_PERIODS * settings.periodMs();
    }

    private void refute(double now, long said) {
        if (said < incarnation || now - lastRefute < REFUTE_MS) {
            return;
        }
        lastRefute = now;
        counts.refuted++;
        patience.ill();
        speakAnew(said);
    }

    private void greet(double now, IntPredicate whom) {
        Set<Integer> greeted = new HashSet<>();
        for (int ring = 0; ring < Rings.COUNT; ring++) {
            greeted.add(rings.next(ring, settings.self(), whom));
            greeted.add(rings.before(ring, settings.self(), whom));
        }
        for (int i = 0; i < GREETED; i++) {
            greeted.add(some(whom));
        }
        greeted.remove(-1);
        greeted.forEach(to -> probe(now, to, false));
    }

    // ---- what is heard ----

    private void heard(double now, Member peer, Message message) {
        peer.zone = message.zone();
        if (message.incarnation() > peer.incarnation) {
            boolean first = peer.isIn(PeerState.ABSENT);
            peer.incarnation = message.incarnation();
            peer.heardMs = now;
            boolean goes = message.says(Message.LEAVING);
            move(now, peer, goes ? PeerState.LEFT : PeerState.ALIVE);
            tell(peer, first);
            return;
        }
        if (peer.isIn(PeerState.FAULTY) || peer.isIn(PeerState.LEFT)) {
            // A dead life does not come back: if it lives, it says so with another number when told.
            return;
        }
        peer.heardMs = now;
        if (message.says(Message.LEAVING)) {
            move(now, peer, PeerState.LEFT);
            tell(peer);
        } else if (peer.isIn(PeerState.SUSPECT)) {
            acquit(now, peer);
        } else if (message.says(Message.DEAF)) {
            // It can't answer anybody: those who try it will want to know.
            sayHeard(now, peer, List.of());
        }
    }

    /** Somebody has heard it. */
    private void acquit(double now, Member peer) {
        List<Integer> accusers = peer.suspicion.accusers();
        peer.clearedMs = now;
        move(now, peer, PeerState.ALIVE);
        news.acquit(peer.number);
        sayHeard(now, peer, accusers);
    }

    /** Those who accuse it are told at once: it is they who would call it faulty. */
    private void sayHeard(double now, Member peer, List<Integer> accusers) {
        if (now - peer.saidMs < settings.periodMs() / 2) {
            return;
        }
        peer.saidMs = now;
        Update heard = new Update(peer.number, Word.HEARD, peer.zone, peer.incarnation);
        news.put(heard);
        for (int accuser : accusers) {
            if (accuser != settings.self() && accuser != peer.number) {
                send(now, accuser, Kind.GOSSIP, 0, accuser, List.of(heard), List.of(), List.of(), false);
            }
        }
    }

    private void tell(Member peer) {
        tell(peer, false);
    }

    /**
     * Passes on what is new of a peer. That it is there at all, where nothing was known of it, comes by the
     * comparing of parts too, and of a whole fleet at once when that starts: it is said less often. So is
     * what comes where there is much to tell: all of it, told often, would take longer than comparing.
     */
    private void tell(Member peer, boolean first) {
        news.acquit(peer.number);
        news.put(peer.asUpdate(), first || news.size() > MANY_NEWS);
    }

    private void move(double now, Member peer, PeerState next) {
        PeerState before = peer.state;
        roster.move(peer, next);
        if (next == PeerState.FAULTY && before != next) {
            cuts.calledFaulty(now);
        }
        if (before != next) {
            line.changed(peer.number, before, next);
        }
    }

    /** Learns what is said, and says in return what the other does not know yet. */
    private void compare(double now, Member peer, Message message) {
        int lives = 0;
        List<Update> newer = new ArrayList<>();
        for (Update update : message.updates()) {
            if (learn(now, update)) {
                lives++;
            } else if (update.number() < roster.told()
                    && update.number() != settings.self()
                    && update.incarnation() < roster.get(update.number()).incarnation) {
                newer.add(roster.get(update.number()).asUpdate());
            }
        }
        if (lives >= BEHIND) {
            catchUpUntil = Math.max(catchUpUntil, now + MOST_CATCH_UP_MS / 2);
            cleanParts = 0;
        }
        Probe probe = message.kind() == Kind.ACK ? probes.get(message.sequence()) : null;
        if (probe != null && probe.subject == peer.number) {
            cleanParts = lives + newer.size() == 0 ? cleanParts + probe.parts : 0;
        }
        // Only answers are answered so: two who know otherwise would go on for ever.
        if (message.kind() == Kind.ACK && !newer.isEmpty() && voice.mayTell(now)) {
            send(now, peer.number, Kind.GOSSIP, 0, peer.number, newer, List.of(), List.of(), false);
        }
    }

    /** Whether it was of a life that we did not know. */
    private boolean learn(double now, Update update) {
        if (update.number() >= roster.told()) {
            counts.malformed++;
            return false;
        }
        if (!Incarnations.isSane(update.incarnation(), now)) {
            counts.insane++;
            return false;
        }
        if (update.number() == settings.self()) {
            learnOfUs(now, update);
            return false;
        }
        Member peer = roster.get(update.number());
        if (update.incarnation() > peer.incarnation) {
            boolean first = peer.isIn(PeerState.ABSENT);
            peer.incarnation = update.incarnation();
            peer.zone = update.zone();
            peer.heardMs = Double.NEGATIVE_INFINITY;
            switch (update.word()) {
                case FAULTY -> fault(now, peer);
                case LEFT -> move(now, peer, PeerState.LEFT);
                default -> move(now, peer, PeerState.ALIVE);
            }
            if (!peer.isIn(PeerState.SUSPECT)) {
                tell(peer, first);
            }
            return true;
        }
        if (update.incarnation() == peer.incarnation) {
            learnMore(now, peer, update);
        }
        return false;
    }

    /** More of the life that is known. */
    private void learnMore(double now, Member peer, Update update) {
        switch (update.word()) {
            case HEARD -> {
                if (peer.isIn(PeerState.SUSPECT)) {
                    peer.clearedMs = now;
                    move(now, peer, PeerState.ALIVE);
                    news.acquit(peer.number);
                    news.put(update);
                }
            }
            case FAULTY -> {
                if (peer.mayLive() && now - peer.heardMs <= FRESH_MS) {
                    sayHeard(now, peer, List.of());
                } else if (peer.mayLive()) {
                    fault(now, peer);
                    if (peer.isIn(PeerState.FAULTY)) {
                        tell(peer);
                    }
                }
            }
            case LEFT -> {
                if (!peer.isIn(PeerState.LEFT)) {
                    move(now, peer, PeerState.LEFT);
                    tell(peer);
                }
            }
            default -> {}
        }
    }

    /** It is said to be faulty; where that makes too many at once it is only silent. */
    private void fault(double now, Member peer) {
        if (isMassed(now)) {
            suspect(now, peer);
        } else {
            move(now, peer, PeerState.FAULTY);
        }
    }

    private void learnOfUs(double now, Update update) {
        boolean against = update.word() == Word.FAULTY || update.word() == Word.LEFT && !leaving;
        if (against && update.incarnation() >= incarnation) {
            refute(now, update.incarnation());
        } else if (update.incarnation() > incarnation) {
            // Of an earlier life with another clock, or of another process at our name.
            refute(now, update.incarnation());
        }
    }

    private void accused(double now, Accusation accusation) {
        if (accusation.number() >= roster.told() || accusation.accuser() >= roster.told()) {
            counts.malformed++;
            return;
        }
        if (!Incarnations.isSane(accusation.incarnation(), now)) {
            counts.insane++;
            return;
        }
        if (accusation.number() == settings.self()) {
            if (!leaving) {
                refute(now, accusation.incarnation());
            }
            return;
        }
        Member peer = roster.get(accusation.number());
        if (accusation.incarnation() != peer.incarnation || !peer.mayLive()) {
            return;
        }
        if (now - peer.heardMs <= FRESH_MS) {
            sayHeard(now, peer, List.of(accusation.accuser()));
        } else if (now - peer.clearedMs > LEAST_SUSPICION_MS) {
            suspect(now, peer);
            if (peer.suspicion.add(accusation.accuser())) {
                accuse(now, accusation);
            }
        }
    }

    private void suspect(double now, Member peer) {
        if (!peer.isIn(PeerState.SUSPECT)) {
            move(now, peer, PeerState.SUSPECT);
            peer.suspicion = new Member.Suspicion(now);
        }
    }

    private void react(double now, Member peer, Message message) {
        switch (message.kind()) {
            case PING -> {
                if (message.target() == settings.self()) {
                    answer(now, peer, message, settings.self(), message.sequence());
                }
            }
            case ACK -> acked(now, peer, message);
            case TRY -> help(now, peer, message);
            default -> {}
        }
    }

    /** Answers with what the other does not know, or knows otherwise. */
    private void answer(double now, Member peer, Message message, int target, int of) {
        List<Update> updates = new ArrayList<>();
        if (!peer.mayLive()) {
            updates.add(peer.asUpdate());
        }
        for (Digest digest : message.digests()) {
            if (digest.bucket() < roster.parts()
                    && voice.mayTell(now)
                    && digest.hash()
                            != roster.digest(digest.bucket(), settings.self(), incarnation)
                                    .hash()) {
                updates.addAll(roster.part(digest.bucket(), ourselves()));
            }
        }
        int most = (MessageCodec.MOST - MessageCodec.HEADER - MessageCodec.SECTION) / MessageCodec.UPDATE;
        send(
                now,
                peer.number,
                Kind.ACK,
                of,
                target,
                updates.size() > most ? updates.subList(0, most) : updates,
                List.of(),
                List.of(),
                updates.isEmpty());
    }

    private void help(double now, Member peer, Message message) {
        if (message.target() >= roster.told() || message.target() == settings.self() || relays.size() >= MOST_RELAYS) {
            return;
        }
        int mine = nextSequence();
        relays.put(mine, new Relay(peer.number, message.sequence(), message.target(), now + RELAY_MS));
        send(
                now,
                message.target(),
                Kind.PING,
                mine,
                message.target(),
                against(message.target()),
                List.of(),
                List.of(),
                false);
    }

    private void acked(double now, Member peer, Message message) {
        Relay relay = relays.remove(message.sequence());
        if (relay != null && relay.subject() == peer.number) {
            send(
                    now,
                    relay.origin(),
                    Kind.ACK,
                    relay.sequence(),
                    relay.subject(),
                    List.of(),
                    List.of(),
                    List.of(),
                    false);
            return;
        }
        Probe late = ended.remove(message.sequence());
        Probe probe = probes.remove(message.sequence());
        Probe of = probe != null ? probe : late;
        if (of == null || of.subject != message.target()) {
            return;
        }
        if (of.subject == peer.number) {
            patience.answered(now - of.sentMs);
        }
        if (probe != null) {
            patience.well();
            if (probe.accuses) {
                cuts.probed(now, probe.subject, true);
            }
            Member subject = roster.get(of.subject);
            if (of.subject != peer.number && subject.isIn(PeerState.SUSPECT)) {
                // Another has just had its answer.
                acquit(now, subject);
            }
        }
    }

    // ---- probes ----

    /** However ill we are: who watches no more is not heard any more either, by those whom it tried. */
    private double slotMs() {
        return settings.periodMs() / (Rings.COUNT + 1);
    }

    /** One watched member a slot, ring by ring, and then one of those that are not known to live. */
    private void probeNext(double now) {
        int ring = slot++ % (Rings.COUNT + 1);
        if (ring < Rings.COUNT) {
            int next = rings.next(ring, settings.self(), this::isAlive);
            if (next >= 0 && probes.values().stream().noneMatch(one -> one.subject == next)) {
                probe(now, next, true);
            }
            return;
        }
        int silent = some(number -> !isAlive(number) && roster.get(number).state != PeerState.LEFT);
        if (silent >= 0) {
            probe(now, silent, false);
        }
        if (isMassed(now)) {
            widen(now, WIDENED / 2);
        }
        List<Member> own = new ArrayList<>(roster.suspects());
        own.removeIf(one -> !one.suspicion.own);
        for (int i = 0; i < Math.min(RETRIED, own.size()); i++) {
            probe(now, own.get(random.nextInt(own.size())).number, true);
        }
    }

    private boolean isAlive(int number) {
        return number != settings.self() && roster.get(number).isIn(PeerState.ALIVE);
    }

    /** One of those wanted, at random, or -1; a few tries, and then the first from a random place on. */
    private int some(IntPredicate wanted) {
        int from = random.nextInt(roster.told());
        for (int i = 0; i < roster.told(); i++) {
            int number = (from + i) % roster.told();
            if (i < FANOUT) {
                number = random.nextInt(roster.told());
            }
            if (number != settings.self() && wanted.test(number)) {
                return number;
            }
        }
        return -1;
    }

    private int nextSequence() {
        sequence = (sequence + 1) & 0xffff;
        return sequence;
    }

    private void probe(double now, int subject, boolean accuses) {
        if (probes.size() >= MOST_PROBES) {
            return;
        }
        Probe probe = new Probe(subject, nextSequence(), now, accuses, counts.heard);
        if (ping(now, probe)) {
            counts.probes++;
            probes.put(probe.sequence, probe);
        }
    }

    /** What its subject must know to contradict. */
    private List<Update> against(int number) {
        Member subject = roster.get(number);
        return subject.isIn(PeerState.FAULTY) || subject.isIn(PeerState.LEFT) ? List.of(subject.asUpdate()) : List.of();
    }

    private boolean ping(double now, Probe probe) {
        Member subject = roster.get(probe.subject);
        List<Accusation> accusations = subject.isIn(PeerState.SUSPECT)
                ? List.of(new Accusation(subject.number, subject.incarnation, settings.self()))
                : List.of();
        List<Digest> digests = List.of(digest());
        return send(
                now,
                probe.subject,
                Kind.PING,
                probe.sequence,
                probe.subject,
                against(probe.subject),
                accusations,
                digests,
                true);
    }

    private Digest digest() {
        nextPart = (nextPart + 1) % roster.parts();
        return roster.digest(nextPart, settings.self(), incarnation);
    }

    private void endProbes(double now) {
        for (Probe probe : List.copyOf(probes.values())) {
            double waited = now - probe.sentMs;
            if (waited >= patience.endMs()) {
                probes.remove(probe.sequence);
                ended.put(probe.sequence, probe);
                fail(now, probe);
            } else if (probe.pings < Patience.PINGS && waited >= probe.pings * patience.gapMs()) {
                probe.pings++;
                ping(now, probe);
            } else if (!probe.helped
                    && probe.accuses
                    && !isMassed(now)
                    && waited >= (Patience.PINGS - 1) * patience.gapMs()) {
                probe.helped = true;
                askForHelp(now, probe);
            }
        }
    }

    private void askForHelp(double now, Probe probe) {
        Set<Integer> helpers = new HashSet<>();
        for (int i = 0; i < HELPERS; i++) {
            helpers.add(some(number -> number != probe.subject && isAlive(number)));
        }
        helpers.remove(-1);
        helpers.forEach(
                to -> send(now, to, Kind.TRY, probe.sequence, probe.subject, List.of(), List.of(), List.of(), false));
    }

    private void fail(double now, Probe probe) {
        if (!probe.accuses) {
            return;
        }
        counts.failedProbes++;
        Member subject = roster.get(probe.subject);
        // Who heard nobody meanwhile has learned of itself, not of the other, and must go on to be heard.
        boolean alone = counts.heard == probe.heardBefore;
        if (subject.isIn(PeerState.ALIVE) && !alone) {
            patience.ill();
        }
        boolean unsure = alone || now < awayUntil || isCutOff(now);
        if (unsure || subject.heardMs >= probe.sentMs || !subject.mayLive()) {
            return;
        }
        counts.accused++;
        cuts.probed(now, probe.subject, false);
        if (!isMassed(now) && (!subject.isIn(PeerState.SUSPECT) || !subject.suspicion.own)) {
            widen(now, WIDENED);
        }
        suspect(now, subject);
        subject.suspicion.own = true;
        subject.suspicion.add(settings.self());
        accuse(now, new Accusation(subject.number, subject.incarnation, settings.self()));
    }

    /** Of a cut it is enough that somebody was accused at all. */
    private void accuse(double now, Accusation accusation) {
        boolean massed = isMassed(now);
        if (!massed || roster.get(accusation.number()).suspicion.accusers().size() == 1) {
            news.put(accusation, massed);
        }
    }

    /** Is it one that is silent, or many? Some more are tried at once, as a cut must show before a death. */
    private void widen(double now, int more) {
        for (int i = 0; i < more; i++) {
            int other = some(this::isAlive);
            if (other >= 0 && probes.values().stream().noneMatch(one -> one.subject == other)) {
                probe(now, other, true);
            }
        }
    }

    // ---- suspicions ----

    private boolean isMassed(double now) {
        return cuts.isCut(now, roster.suspects().size(), roster.alive() + 1);
    }

    private void review(double now) {
        if (roster.suspects().isEmpty()) {
            return;
        }
        boolean massed = isMassed(now);
        boolean unsure = now < awayUntil || isCutOff(now);
        double least = LEAST_SUSPICION_MS + 2 * patience.tailMs();
        for (Member peer : List.copyOf(roster.suspects())) {
            double silent = now - peer.suspicion.sinceMs;
            if (massed && silent >= MASS_HOLD_MS && !unsure) {
                move(now, peer, PeerState.FAULTY);
                tell(peer);
            } else if (!massed && !unsure && peer.suspicion.own && silent >= lasts(least, peer)) {
                counts.calledFaulty++;
                move(now, peer, PeerState.FAULTY);
                tell(peer);
            } else if (!massed && !unsure && !peer.suspicion.own && silent >= 2 * ALONE_TIMES * least) {
                // Those who accused it have not found it faulty: they would have said so by now.
                peer.clearedMs = now;
                move(now, peer, PeerState.ALIVE);
            }
        }
    }

    /** The more have found the same, the shorter. */
    private static double lasts(double least, Member peer) {
        double agree = Math.min(AGREEING, peer.suspicion.accusers().size() - 1);
        return least * (ALONE_TIMES - (ALONE_TIMES - 1) * Math.log(agree + 1) / Math.log(AGREEING + 1));
    }

    // ---- news ----

    private void gossip(double now) {
        if (news.isEmpty()) {
            return;
        }
        for (int i = 0; i < FANOUT && !news.isEmpty(); i++) {
            int to = some(number -> roster.get(number).mayLive());
            if (to < 0 || !voice.mayGossip(now)) {
                return;
            }
            send(now, to, Kind.GOSSIP, 0, to, List.of(), List.of(), List.of(), true);
        }
    }

    /** Who has just started, or was away for long, compares all parts one after the other, with many. */
    private void catchUp(double now) {
        if (now < nextCatchUp || now >= catchUpUntil || roster.told() == 1) {
            return;
        }
        nextCatchUp = now + CATCH_UP_MS;
        if (cleanParts >= roster.parts()) {
            catchUpUntil = now;
            return;
        }
        int to = some(this::isAlive);
        if (to < 0 || !voice.mayGossip(now)) {
            return;
        }
        List<Digest> digests = new ArrayList<>();
        for (int i = 0; i < Math.min(DIGESTS, roster.parts()); i++) {
            digests.add(digest());
        }
        Probe probe = new Probe(to, nextSequence(), now, false, counts.heard);
        probe.pings = Patience.PINGS;
        probe.parts = digests.size();
        if (probes.size() < MOST_PROBES
                && send(now, to, Kind.PING, probe.sequence, to, List.of(), List.of(), digests, false)) {
            probes.put(probe.sequence, probe);
        }
    }

    private boolean send(
            double now,
            int to,
            Kind kind,
            int of,
            int target,
            List<Update> said,
            List<Accusation> against,
            List<Digest> digests,
            boolean withNews) {
        return voice.say(
                now,
                to,
                new Message(
                        kind,
                        settings.tier(),
                        settings.zone(),
                        settings.self(),
                        incarnation,
                        of,
                        target,
                        flags(now),
                        said,
                        against,
                        digests),
                withNews);
    }

    private int flags(double now) {
        return (leaving ? Message.LEAVING : 0)
                | (now < awayUntil ? Message.WAS_AWAY : 0)
                | (isCutOff(now) ? Message.DEAF : 0);
    }
}
