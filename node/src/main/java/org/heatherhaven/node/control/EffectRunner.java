package org.heatherhaven.node.control;

import org.heatherhaven.core.effect.Effect;

/** Carries out effects; called by the control thread only, and must not block it. */
public interface EffectRunner {

    /**
     * Carries out one effect.
     *
     * @param effect the effect
     */
    void run(Effect effect);
}
