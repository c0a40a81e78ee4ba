package org.heatherhaven.node.control;

import org.heatherhaven.core.effect.Effect;

/** Carries out the effects of the reducer; called by the control thread only, which it must not block. */
public interface EffectRunner {

    /**
     * Carries out one effect.
     *
     * @param effect the effect
     */
    void run(Effect effect);
}
