package martenlatch.gossip;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenlatch.gossip.Message.Accusation;
import martenlatch.gossip.Message.Update;

/**
 * What is disseminated, each item so often that it surely reaches all members (SWIM, section 4.1): the newest update on
 * each peer, and a bounded number of accusations. What was sent least often is sent first.
 */
final class DisseminationQueue {

    private static final int MAX_ACCUSATIONS = 128;
    /** Multiple of the logarithm of the fleet's size: SWIM's lambda. */
    private static final int RETRANSMIT_MULTIPLE = 4;

    /** How often an item is sent that is to be sent rarely. */
    private static final int RARELY = 2;

    private static final class Item {
        private final Update update;
        private final Accusation accusation;
        private int sentCount;
        private boolean stale;

        Item(Update update, Accusation accusation) {
            this.update = update;
            this.accusation = accusation;
        }
    }

    private final Map<Integer, Item> updates = new HashMap<>();
    private final Map<Accusation, Item> accusations = new HashMap<>();
    private final List<Deque<Item>> bySentCount = new ArrayList<>();

    DisseminationQueue(int memberCount) {
        int maxSentCount = RETRANSMIT_MULTIPLE * (int) Math.ceil(Math.log10(memberCount + 1.0));
        for (int i = 0; i < maxSentCount; i++) {
            bySentCount.add(new ArrayDeque<>());
        }
    }

    /** Disseminates an update, in place of an earlier one on that peer. */
    void put(Update update) {
        put(update, false);
    }

    /**
     * Disseminates an update, in place of an earlier one on that peer.
     *
     * @param rarely it need not reach all members this way, and counts as sent most of its times already
     */
    void put(Update update, boolean rarely) {
        Item fresh = new Item(update, null);
        fresh.sentCount = rarely ? Math.max(0, bySentCount.size() - RARELY) : 0;
        markStale(updates.put(update.number(), fresh));
        bySentCount.get(fresh.sentCount).add(fresh);
    }

    /** Disseminates an accusation, if there is room; rarely as above. */
    void put(Accusation accusation, boolean rarely) {
        if (accusations.size() < MAX_ACCUSATIONS && !accusations.containsKey(accusation)) {
            Item fresh = new Item(null, accusation);
            fresh.sentCount = rarely ? Math.max(0, bySentCount.size() - RARELY) : 0;
            accusations.put(accusation, fresh);
            bySentCount.get(fresh.sentCount).add(fresh);
        }
    }

    /** Drops the accusations against a peer. */
    void dropAccusations(int number) {
        accusations.entrySet().removeIf(entry -> {
            boolean drop = entry.getKey().number() == number;
            entry.getValue().stale |= drop;
            return drop;
        });
    }

    private static void markStale(Item item) {
        if (item != null) {
            item.stale = true;
        }
    }

    boolean isEmpty() {
        return updates.isEmpty() && accusations.isEmpty();
    }

    int size() {
        return updates.size() + accusations.size();
    }

    /** Takes what fits into so many bytes, and counts it as sent once more. */
    void fill(int bytes, List<Update> sentUpdates, List<Accusation> sentAccusations) {
        int left = bytes - 2 * MessageCodec.SECTION;
        List<Item> taken = new ArrayList<>();
        for (Deque<Item> items : bySentCount) {
            while (!items.isEmpty() && left >= MessageCodec.ACCUSATION) {
                Item item = items.poll();
                if (item.stale) {
                    continue;
                }
                taken.add(item);
                if (item.update != null) {
                    sentUpdates.add(item.update);
                    left -= MessageCodec.UPDATE;
                } else {
                    sentAccusations.add(item.accusation);
                    left -= MessageCodec.ACCUSATION;
                }
            }
        }
        // Only now: otherwise an item could be sent twice in one message.
        for (Item item : taken) {
            if (++item.sentCount < bySentCount.size()) {
                bySentCount.get(item.sentCount).add(item);
            } else if (item.update != null) {
                updates.remove(item.update.number(), item);
            } else {
                accusations.remove(item.accusation, item);
            }
        }
    }
}
