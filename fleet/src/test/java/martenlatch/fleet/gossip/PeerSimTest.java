package martenlatch.fleet.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenlatch.fleet.link.LinkConditions;
import martenlatch.gossip.PeerState;
import martenlatch.gossip.PeerView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What may befall a fleet, over 1,000 plays in all. */
class PeerSimTest {

    private static final int SEEDS = 40;
    private static final double BACK_MS = 2000;

    private static int members(int seed) {
        return 8 + seed % 9;
    }

    /** Nobody that runs is called faulty, and after each fault all know each other again. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"MUTE_ONE", "KILL", "LOSS_50"})
    void nobodyThatRunsIsCalledFaulty(PeerCase what) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            PeerSim sim = what.play(members(seed), seed, GossipUnderTest::new);
            assertEquals(0, sim.wronglyFaulty(), what + " with seed " + seed);
            assertWhole(sim, what + " with seed " + seed);
        }
    }

    private static void assertWhole(PeerSim sim, String what) {
        for (int i = 0; i < sim.size(); i++) {
            if (sim.runs(i)) {
                assertTrue(sim.allBelieve(i, PeerState.ALIVE), what + ": " + i + " is not known to live");
            }
        }
    }

    /** With half of all messages lost some accusation may go through; the fleet is whole soon after. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.INCLUDE,
            names = {"MUTE_ONE", "LOSS_50"})
    void whoCannotBeHeardIsBackWhenItCan(PeerCase what) {
        int wrong = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            PeerSim sim = what.play(members(seed), seed, GossipUnderTest::new);
            assertWhole(sim, what + " with seed " + seed);
            wrong += what == PeerCase.LOSS_50 ? sim.wronglyFaulty() : 0;
        }
        assertTrue(wrong <= SEEDS, "called faulty: " + wrong);
    }

    @Test
    void aDeathIsKnownToAllSoon() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            int members = members(seed);
            PeerSim sim = PeerCase.KILL.play(members, seed, GossipUnderTest::new);
            int dead = PeerCase.one(members);
            Map<Integer, Double> at = new HashMap<>();
            sim.changes().stream()
                    .filter(one -> one.peer() == dead && one.now() == PeerState.FAULTY)
                    .forEach(one -> at.putIfAbsent(one.who(), one.atMs() - PeerCase.SETTLE_MS));
            assertEquals(members - 1, at.size(), "seed " + seed);
            assertTrue(at.values().stream().allMatch(ms -> ms < 7000), "seed " + seed + ": " + at);
        }
    }

    /** However long it stood still, and so did a third of all: back in every view within two seconds. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.INCLUDE,
            names = {"PAUSE_HALF_SECOND", "PAUSE_2S", "PAUSE_10S", "PAUSE_THIRD_2S", "PAUSE_THIRD_10S"})
    void whoWakesIsBackWithinTwoSeconds(PeerCase what) {
        for (int seed = 1; seed <= SEEDS / 4; seed++) {
            PeerSim sim = new PeerSim(members(seed), 2, seed, GossipUnderTest::new);
            sim.startAll(1000);
            sim.runUntil(PeerCase.SETTLE_MS);
            what.into(sim);
            sim.runUntil(PeerCase.SETTLE_MS + what.lastsMs() + BACK_MS);
            assertWhole(sim, what + " with seed " + seed);
        }
    }

    /**
     * What ran out while it stood still speaks against nobody. A tenth of all is lost, so that something is
     * out whenever it stops; that alone has one in some plays accused (11 plays of 40 without the notice).
     */
    @Test
    void whoWakesAccusesNobody() {
        int accused = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            PeerSim sim = new PeerSim(members(seed), 2, seed, GossipUnderTest::new);
            sim.startAll(1000);
            sim.links((from, to) -> new LinkConditions(0, 0, 0.1, 0, 0, Double.POSITIVE_INFINITY, 0, false));
            sim.runUntil(PeerCase.SETTLE_MS);
            PeerCase.PAUSE_AGAIN.into(sim);
            sim.runUntil(PeerCase.SETTLE_MS + PeerCase.PAUSE_AGAIN.lastsMs() + BACK_MS);
            int paused = PeerCase.one(sim.size());
            accused += sim.changes().stream()
                            .anyMatch(one -> one.who() == paused
                                    && one.atMs() >= PeerCase.SETTLE_MS
                                    && one.now() == PeerState.SUSPECT)
                    ? 1
                    : 0;
        }
        assertTrue(accused <= 3, accused + " of " + SEEDS + " plays");
    }

    /** A life that is over does not come back by what is still on its way. */
    @Test
    void aDeadLifeStaysDead() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            PeerSim sim = PeerCase.KILL.play(members(seed), seed, GossipUnderTest::new);
            int dead = PeerCase.one(sim.size());
            List<PeerSim.Change> after = new ArrayList<>();
            Map<Integer, Boolean> faulty = new HashMap<>();
            for (PeerSim.Change one : sim.changes()) {
                if (one.peer() == dead && Boolean.TRUE.equals(faulty.get(one.who()))) {
                    after.add(one);
                }
                if (one.peer() == dead && one.now() == PeerState.FAULTY) {
                    faulty.put(one.who(), true);
                }
            }
            assertEquals(List.of(), after, "seed " + seed);
        }
    }

    /** In a split each half knows itself for sure, and does not take the other for dead. */
    @Test
    void aSplitIsSeenAsOne() {
        PeerSim sim = new PeerSim(12, 2, 3, GossipUnderTest::new);
        sim.startAll(1000);
        sim.runUntil(PeerCase.SETTLE_MS);
        PeerCase.SPLIT_60S.into(sim);
        sim.runUntil(PeerCase.SETTLE_MS + 15_000);
        for (int i = 0; i < 12; i++) {
            PeerView view = ((GossipUnderTest) sim.member(i)).view(sim.clock());
            assertEquals(6, view.atLeast(), i + " sees " + view);
            assertEquals(12, view.atMost(), i + " sees " + view);
            assertTrue(view.partitioned() && !view.cutOff(), i + " sees " + view);
            assertEquals(
                    new PeerView.Bounds(i % 2 == 0 ? 6 : 0, 6), view.zones().get(0));
        }
    }

    /** Who hears nobody takes itself to be cut off, and says so; who is heard by all still lives for them. */
    @Test
    void whoHearsNobodyIsCutOff() {
        PeerSim sim = new PeerSim(12, 2, 4, GossipUnderTest::new);
        sim.startAll(1000);
        sim.runUntil(PeerCase.SETTLE_MS);
        PeerCase.DEAF_ONE.into(sim);
        sim.runUntil(PeerCase.SETTLE_MS + 10_000);
        PeerView view = ((GossipUnderTest) sim.member(PeerCase.one(12))).view(sim.clock());
        assertTrue(view.cutOff(), view.toString());
        assertEquals(1, view.atLeast());
        assertEquals(12, view.atMost());
        assertTrue(sim.allBelieve(PeerCase.one(12), PeerState.ALIVE));
    }

    /** A process whose clock was set back starts with a number below that of its life before. */
    @Test
    void aClockSetBackIsOvercome() {
        PeerSim sim = new PeerSim(10, 2, 6, GossipUnderTest::new);
        sim.startAll(1000);
        sim.runUntil(PeerCase.SETTLE_MS);
        long before = ((GossipUnderTest) sim.member(3)).peers().incarnation();
        sim.kill(3);
        sim.startWithClock(3, -3600_000);
        sim.runUntil(PeerCase.SETTLE_MS + 5000);
        assertTrue(sim.allBelieve(3, PeerState.ALIVE));
        assertTrue(((GossipUnderTest) sim.member(3)).peers().incarnation() > before);
    }

    /** What a member sends does not grow with the fleet. */
    @ParameterizedTest
    @ValueSource(ints = {10, 300})
    void bytesDoNotGrowWithTheFleet(int members) {
        MembershipComparison.Result calm = MembershipComparison.measure("ours", "calm", members, 1);
        assertTrue(calm.bytesPerSecond() < 200 && calm.whole(), calm.toString());
        assertEquals(0, calm.wronglyFaulty());
    }

    /** On the same seeds plain SWIM calls many more faulty: what is measured can tell them apart. */
    @Test
    void plainSwimDoesWorseOnTheSameSeeds() {
        for (String what : List.of("loss-30", "deaf-one", "one-way-zones", "split-6s")) {
            MembershipComparison.Result ours = MembershipComparison.measure("ours", what, 30, 2);
            MembershipComparison.Result swim = MembershipComparison.measure("swim", what, 30, 2);
            assertTrue(swim.wronglyFaulty() > 20 * ours.wronglyFaulty(), ours + " against " + swim);
        }
    }
}
