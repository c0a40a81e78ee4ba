package org.heatherhaven.core.effect;

import java.util.ArrayList;
import java.util.List;

/** Collects the effects of one step in order; lives no longer than the step. */
public final class Outbox {

    private final List<Effect> effects = new ArrayList<>();

    /**
     * Adds an effect.
     *
     * @param effect the effect
     */
    public void add(Effect effect) {
        effects.add(effect);
    }

    /**
     * All effects so far.
     *
     * @return an immutable copy
     */
    public List<Effect> effects() {
        return List.copyOf(effects);
    }
}
