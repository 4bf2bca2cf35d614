package martenlatch.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenlatch.peers.Message.Accusation;
import martenlatch.peers.Message.Update;

/**
 * What is passed on to others, each thing so often that it surely reaches all (SWIM, section 4.1): the newest
 * word on each peer, and a bounded number of accusations. What was told least goes first.
 */
final class News {

    private static final int MOST_ACCUSATIONS = 128;
    /** Times the logarithm of the fleet's size: SWIM's lambda, as memberlist has it. */
    private static final int SPREAD = 4;

    /** How often what is said seldom is told. */
    private static final int SELDOM = 2;

    private static final class Item {
        private final Update update;
        private final Accusation accusation;
        private int told;
        private boolean stale;

        Item(Update update, Accusation accusation) {
            this.update = update;
            this.accusation = accusation;
        }
    }

    private final Map<Integer, Item> updates = new HashMap<>();
    private final Map<Accusation, Item> accusations = new HashMap<>();
    private final List<Deque<Item>> byTold = new ArrayList<>();

    News(int told) {
        int most = SPREAD * (int) Math.ceil(Math.log10(told + 1.0));
        for (int i = 0; i < most; i++) {
            byTold.add(new ArrayDeque<>());
        }
    }

    /** Instead of what was to be told of that peer. */
    void put(Update update) {
        put(update, false);
    }

    /**
     * The same.
     *
     * @param seldom it need not reach all this way, and counts as told most of its times already
     */
    void put(Update update, boolean seldom) {
        Item fresh = new Item(update, null);
        fresh.told = seldom ? Math.max(0, byTold.size() - SELDOM) : 0;
        drop(updates.put(update.number(), fresh));
        byTold.get(fresh.told).add(fresh);
    }

    /** One accusation more, if there is room; said seldom as above. */
    void put(Accusation accusation, boolean seldom) {
        if (accusations.size() < MOST_ACCUSATIONS && !accusations.containsKey(accusation)) {
            Item fresh = new Item(null, accusation);
            fresh.told = seldom ? Math.max(0, byTold.size() - SELDOM) : 0;
            accusations.put(accusation, fresh);
            byTold.get(fresh.told).add(fresh);
        }
    }

    /** Nothing more is to be said against a peer. */
    void acquit(int number) {
        accusations.entrySet().removeIf(one -> {
            boolean of = one.getKey().number() == number;
            one.getValue().stale |= of;
            return of;
        });
    }

    private static void drop(Item item) {
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

    /** Takes what fits into so many bytes, and counts it as told once more. */
    void fill(int room, List<Update> saidUpdates, List<Accusation> saidAccusations) {
        int left = room - 2 * MessageCodec.SECTION;
        List<Item> taken = new ArrayList<>();
        for (Deque<Item> items : byTold) {
            while (!items.isEmpty() && left >= MessageCodec.ACCUSATION) {
                Item item = items.poll();
                if (item.stale) {
                    continue;
                }
                taken.add(item);
                if (item.update != null) {
                    saidUpdates.add(item.update);
                    left -= MessageCodec.UPDATE;
                } else {
                    saidAccusations.add(item.accusation);
                    left -= MessageCodec.ACCUSATION;
                }
            }
        }
        // Only now, or it would be said twice in one message.
        for (Item item : taken) {
            if (++item.told < byTold.size()) {
                byTold.get(item.told).add(item);
            } else if (item.update != null) {
                updates.remove(item.update.number(), item);
            } else {
                accusations.remove(item.accusation, item);
            }
        }
    }
}
