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
 * Queues the items to disseminate: the newest update on each peer and a bounded number of accusations. Each item is
 * sent often enough to reach all members with high probability (SWIM, section 4.1). Items with the fewest transmissions
 * are sent first.
 */
final class DisseminationQueue {

    private static final int MAX_ACCUSATIONS = 128;
    /** The transmissions of an item as a multiple of the logarithm of the member count (lambda in SWIM). */
    private static final int TRANSMISSION_MULTIPLE = 4;

    /** The transmissions of an item that is enqueued with reduced transmissions. */
    private static final int REDUCED_TRANSMISSIONS = 2;

    /** An update or an accusation; the other one is null. A stale item was replaced or dropped and is skipped. */
    private static final class Item {
        private final Update update;
        private final Accusation accusation;
        private int transmissions;
        private boolean stale;

        Item(Update update, Accusation accusation) {
            this.update = update;
            this.accusation = accusation;
        }
    }

    private final Map<Integer, Item> updates = new HashMap<>();
    private final Map<Accusation, Item> accusations = new HashMap<>();
    /** The queued items by their number of transmissions so far. */
    private final List<Deque<Item>> byTransmissions = new ArrayList<>();

    DisseminationQueue(int memberCount) {
        int maxTransmissions = TRANSMISSION_MULTIPLE * (int) Math.ceil(Math.log10(memberCount + 1.0));
        for (int i = 0; i < maxTransmissions; i++) {
            byTransmissions.add(new ArrayDeque<>());
        }
    }

    /** Enqueues an update and replaces an earlier one on the same peer. */
    void enqueue(Update update) {
        enqueue(update, false);
    }

    /**
     * Enqueues an update and replaces an earlier one on the same peer.
     *
     * @param reducedTransmissions whether the update need not reach all members this way and is sent only a few times
     */
    void enqueue(Update update, boolean reducedTransmissions) {
        Item item = new Item(update, null);
        item.transmissions = reducedTransmissions ? Math.max(0, byTransmissions.size() - REDUCED_TRANSMISSIONS) : 0;
        markStale(updates.put(update.number(), item));
        byTransmissions.get(item.transmissions).add(item);
    }

    /** Enqueues an accusation unless the queue of accusations is full; for {@code reducedTransmissions} see above. */
    void enqueue(Accusation accusation, boolean reducedTransmissions) {
        if (accusations.size() < MAX_ACCUSATIONS && !accusations.containsKey(accusation)) {
            Item item = new Item(null, accusation);
            item.transmissions = reducedTransmissions ? Math.max(0, byTransmissions.size() - REDUCED_TRANSMISSIONS) : 0;
            accusations.put(accusation, item);
            byTransmissions.get(item.transmissions).add(item);
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

    /** Returns the number of updates and accusations that are queued. */
    int size() {
        return updates.size() + accusations.size();
    }

    /** Adds the items that fit into {@code maxBytes} to the lists and counts one transmission for each. */
    void fill(int maxBytes, List<Update> sentUpdates, List<Accusation> sentAccusations) {
        int remainingBytes = maxBytes - 2 * MessageCodec.SECTION_HEADER_BYTES;
        List<Item> taken = new ArrayList<>();
        for (Deque<Item> items : byTransmissions) {
            while (!items.isEmpty() && remainingBytes >= MessageCodec.ACCUSATION_BYTES) {
                Item item = items.poll();
                if (item.stale) {
                    continue;
                }
                taken.add(item);
                if (item.update != null) {
                    sentUpdates.add(item.update);
                    remainingBytes -= MessageCodec.UPDATE_BYTES;
                } else {
                    sentAccusations.add(item.accusation);
                    remainingBytes -= MessageCodec.ACCUSATION_BYTES;
                }
            }
        }
        // Items are requeued after the loop: otherwise one could be sent twice in one message.
        for (Item item : taken) {
            if (++item.transmissions < byTransmissions.size()) {
                byTransmissions.get(item.transmissions).add(item);
            } else if (item.update != null) {
                updates.remove(item.update.number(), item);
            } else {
                accusations.remove(item.accusation, item);
            }
        }
    }
}
