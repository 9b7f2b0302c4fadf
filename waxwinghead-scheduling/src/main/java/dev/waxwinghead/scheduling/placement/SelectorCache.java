package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.label.Selector;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Caches which workers each selector matches. */
final class SelectorCache {
    private static final int MAX_SELECTORS = 1_024;

    private final Map<Selector, BitSet> matches = new HashMap<>();

    BitSet matches(Selector selector, List<WorkerSlot> slots) {
        BitSet cached = matches.get(selector);
        if (cached != null) {
            return cached;
        }
        if (matches.size() >= MAX_SELECTORS) {
            matches.clear();
        }
        BitSet computed = new BitSet(slots.size());
        for (int i = 0; i < slots.size(); i++) {
            computed.set(i, selector.matches(slots.get(i).description().labels()));
        }
        matches.put(selector, computed);
        return computed;
    }

    void update(int slot, Labels labels) {
        matches.forEach((selector, bits) -> bits.set(slot, selector.matches(labels)));
    }
}
