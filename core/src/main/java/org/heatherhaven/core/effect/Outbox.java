package org.heatherhaven.core.effect;

import java.util.ArrayList;
import java.util.List;

/** Collects the effects of one event in order; a new one is created for every event. */
public final class Outbox {

    private final List<Effect> effects = new ArrayList<>();

    /**
     * Adds an effect.
     *
     * @param effect effect to append
     */
    public void add(Effect effect) {
        effects.add(effect);
    }

    /**
     * Returns the effects added so far, in order.
     *
     * @return an immutable copy
     */
    public List<Effect> effects() {
        return List.copyOf(effects);
    }
}
