package martenlatch.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks the completion times and the rejections of {@link CallQueue}. */
class CallQueueTest {

    @Test
    void rejectsACallThatWaitsTooLongWithoutUsingServerTime() {
        CallQueue queue = new CallQueue(50, 60);
        assertEquals(new CallQueue.Turn(1050, false), queue.come(1000));
        assertEquals(new CallQueue.Turn(1100, false), queue.come(1000));
        assertEquals(new CallQueue.Turn(1060, true), queue.come(1000));
        assertEquals(new CallQueue.Turn(1150, false), queue.come(1050));
        assertEquals(new CallQueue.Turn(2050, false), queue.come(2000));
    }

    /** A rejection that takes server time is sent in its turn, and later calls wait for it. */
    @Test
    void sendsARejectionThatTakesTimeInItsTurn() {
        CallQueue queue = new CallQueue(50, 20, 60);
        assertEquals(new CallQueue.Turn(1050, false), queue.come(1000));
        assertEquals(new CallQueue.Turn(1100, false), queue.come(1000));
        assertEquals(new CallQueue.Turn(1120, true), queue.come(1000));
        assertEquals(new CallQueue.Turn(1140, true), queue.come(1000));
        assertEquals(new CallQueue.Turn(1190, false), queue.come(1100));
    }
}
