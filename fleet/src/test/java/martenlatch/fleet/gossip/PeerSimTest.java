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

/** Tests gossip membership under faults, in over 1,000 simulated runs. */
class PeerSimTest {

    private static final int SEEDS = 40;
    private static final double RECOVERY_MS = 2000;

    private static int members(int seed) {
        return 8 + seed % 9;
    }

    /** No running member is declared faulty, and after each fault all members believe each other alive again. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"MUTE_ONE", "KILL", "LOSS_50"})
    void runningMembersAreNotDeclaredFaulty(PeerCase what) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            PeerSim sim = what.play(members(seed), seed, GossipUnderTest::new);
            assertEquals(0, sim.wronglyFaulty(), what + " with seed " + seed);
            assertAllBelieveEachOtherAlive(sim, what + " with seed " + seed);
        }
    }

    private static void assertAllBelieveEachOtherAlive(PeerSim sim, String what) {
        for (int i = 0; i < sim.size(); i++) {
            if (sim.runs(i)) {
                assertTrue(sim.allBelieve(i, PeerState.ALIVE), what + ": " + i + " is not believed alive");
            }
        }
    }

    /** With half of all messages lost, a few members may be declared faulty; all are alive in every view soon after. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.INCLUDE,
            names = {"MUTE_ONE", "LOSS_50"})
    void unheardMembersRecoverAfterTheFault(PeerCase what) {
        int wrong = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            PeerSim sim = what.play(members(seed), seed, GossipUnderTest::new);
            assertAllBelieveEachOtherAlive(sim, what + " with seed " + seed);
            wrong += what == PeerCase.LOSS_50 ? sim.wronglyFaulty() : 0;
        }
        assertTrue(wrong <= SEEDS, "members declared faulty: " + wrong);
    }

    @Test
    void deathIsDetectedByAllMembers() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            int members = members(seed);
            PeerSim sim = PeerCase.KILL.play(members, seed, GossipUnderTest::new);
            int dead = PeerCase.singleTarget(members);
            Map<Integer, Double> at = new HashMap<>();
            sim.changes().stream()
                    .filter(one -> one.peer() == dead && one.now() == PeerState.FAULTY)
                    .forEach(one -> at.putIfAbsent(one.observer(), one.atMs() - PeerCase.SETTLE_MS));
            assertEquals(members - 1, at.size(), "seed " + seed);
            assertTrue(at.values().stream().allMatch(ms -> ms < 7000), "seed " + seed + ": " + at);
        }
    }

    /** Paused members are alive in every view within two seconds after they resume, however long the pause was. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.INCLUDE,
            names = {"PAUSE_HALF_SECOND", "PAUSE_2S", "PAUSE_10S", "PAUSE_THIRD_2S", "PAUSE_THIRD_10S"})
    void resumedMembersAreAliveWithinTwoSeconds(PeerCase what) {
        for (int seed = 1; seed <= SEEDS / 4; seed++) {
            PeerSim sim = new PeerSim(members(seed), 2, seed, GossipUnderTest::new);
            sim.startAll(1000);
            sim.runUntil(PeerCase.SETTLE_MS);
            what.schedule(sim);
            sim.runUntil(PeerCase.SETTLE_MS + what.lastsMs() + RECOVERY_MS);
            assertAllBelieveEachOtherAlive(sim, what + " with seed " + seed);
        }
    }

    /**
     * Timeouts that expired during a member's own pause must not make it suspect others. A tenth of all messages is
     * lost, so that a probe is outstanding at each pause; without detection of pauses, members were suspected in 11 of
     * 40 runs.
     */
    @Test
    void resumedMemberSuspectsNobody() {
        int accused = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            PeerSim sim = new PeerSim(members(seed), 2, seed, GossipUnderTest::new);
            sim.startAll(1000);
            sim.setLinks((from, to) -> new LinkConditions(0, 0, 0.1, 0, 0, Double.POSITIVE_INFINITY, 0, false));
            sim.runUntil(PeerCase.SETTLE_MS);
            PeerCase.PAUSE_AGAIN.schedule(sim);
            sim.runUntil(PeerCase.SETTLE_MS + PeerCase.PAUSE_AGAIN.lastsMs() + RECOVERY_MS);
            int paused = PeerCase.singleTarget(sim.size());
            accused += sim.changes().stream()
                            .anyMatch(one -> one.observer() == paused
                                    && one.atMs() >= PeerCase.SETTLE_MS
                                    && one.now() == PeerState.SUSPECT)
                    ? 1
                    : 0;
        }
        assertTrue(accused <= 3, accused + " of " + SEEDS + " plays");
    }

    /** A dead member does not become alive again through messages that are still in transit. */
    @Test
    void deadMemberIsNotRevivedByLateMessages() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            PeerSim sim = PeerCase.KILL.play(members(seed), seed, GossipUnderTest::new);
            int dead = PeerCase.singleTarget(sim.size());
            List<PeerSim.Change> after = new ArrayList<>();
            Map<Integer, Boolean> faulty = new HashMap<>();
            for (PeerSim.Change one : sim.changes()) {
                if (one.peer() == dead && Boolean.TRUE.equals(faulty.get(one.observer()))) {
                    after.add(one);
                }
                if (one.peer() == dead && one.now() == PeerState.FAULTY) {
                    faulty.put(one.observer(), true);
                }
            }
            assertEquals(List.of(), after, "seed " + seed);
        }
    }

    /** In a split, each half is certain of its own members and does not declare the other half dead. */
    @Test
    void splitIsDetectedByBothHalves() {
        PeerSim sim = new PeerSim(12, 2, 3, GossipUnderTest::new);
        sim.startAll(1000);
        sim.runUntil(PeerCase.SETTLE_MS);
        PeerCase.SPLIT_60S.schedule(sim);
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

    /** A member that receives nothing reports itself as cut off; members that receive from it believe it alive. */
    @Test
    void memberThatReceivesNothingReportsItselfCutOff() {
        PeerSim sim = new PeerSim(12, 2, 4, GossipUnderTest::new);
        sim.startAll(1000);
        sim.runUntil(PeerCase.SETTLE_MS);
        PeerCase.DEAF_ONE.schedule(sim);
        sim.runUntil(PeerCase.SETTLE_MS + 10_000);
        PeerView view = ((GossipUnderTest) sim.member(PeerCase.singleTarget(12))).view(sim.clock());
        assertTrue(view.cutOff(), view.toString());
        assertEquals(1, view.atLeast());
        assertEquals(12, view.atMost());
        assertTrue(sim.allBelieve(PeerCase.singleTarget(12), PeerState.ALIVE));
    }

    /** A process whose clock was set back starts with a lower incarnation than before, and must overtake it. */
    @Test
    void memberWithClockSetBackRejoins() {
        PeerSim sim = new PeerSim(10, 2, 6, GossipUnderTest::new);
        sim.startAll(1000);
        sim.runUntil(PeerCase.SETTLE_MS);
        long before = ((GossipUnderTest) sim.member(3)).membership().incarnation();
        sim.kill(3);
        sim.startWithClock(3, -3600_000);
        sim.runUntil(PeerCase.SETTLE_MS + 5000);
        assertTrue(sim.allBelieve(3, PeerState.ALIVE));
        assertTrue(((GossipUnderTest) sim.member(3)).membership().incarnation() > before);
    }

    /** The bytes that a member sends do not grow with the size of the fleet. */
    @ParameterizedTest
    @ValueSource(ints = {10, 300})
    void bytesDoNotGrowWithFleetSize(int members) {
        MembershipComparison.Result calm = MembershipComparison.measure("ours", "calm", members, 1);
        assertTrue(calm.bytesPerSecond() < 200 && calm.whole(), calm.toString());
        assertEquals(0, calm.wronglyFaulty());
    }

    /** On the same seeds, plain SWIM declares many more members faulty: the comparison distinguishes detectors. */
    @Test
    void plainSwimDeclaresMoreMembersFaultyOnTheSameSeeds() {
        for (String what : List.of("loss-30", "deaf-one", "one-way-zones", "split-6s")) {
            MembershipComparison.Result ours = MembershipComparison.measure("ours", what, 30, 2);
            MembershipComparison.Result swim = MembershipComparison.measure("swim", what, 30, 2);
            assertTrue(swim.wronglyFaulty() > 20 * ours.wronglyFaulty(), ours + " against " + swim);
        }
    }
}
