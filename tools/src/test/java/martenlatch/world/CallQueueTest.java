package martenlatch.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Calls in turn, and those that wait too long. */
class CallQueueTest {

    @Test
    void whoWaitsTooLongIsTurnedAwayAndTakesNoTurn() {
        CallQueue queue = new CallQueue(50, 60);
        assertEquals(new CallQueue.Turn(1050, false), queue.come(1000));
        assertEquals(new CallQueue.Turn(1100, false), queue.come(1000));
        assertEquals(new CallQueue.Turn(1060, true), queue.come(1000));
        assertEquals(new CallQueue.Turn(1150, false), queue.come(1050));
        assertEquals(new CallQueue.Turn(2050, false), queue.come(2000));
    }

    /** Where a rejection takes time, it is told in its turn, and those behind it wait for it too. */
    @Test
    void aRejectionThatTakesTimeIsToldInItsTurn() {
        CallQueue queue = new CallQueue(50, 20, 60);
        assertEquals(new CallQueue.Turn(1050, false), queue.come(1000));
        assertEquals(new CallQueue.Turn(1100, false), queue.come(1000));
        assertEquals(new CallQueue.Turn(1120, true), queue.come(1000));
        assertEquals(new CallQueue.Turn(1140, true), queue.come(1000));
        assertEquals(new CallQueue.Turn(1190, false), queue.come(1100));
    }
}
