package org.heatherhaven.core.event;

import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.model.PolicyPatch;

/** Time, peers and operators. */
public sealed interface ControlEvent extends Event {

    /** Time has passed. */
    record Tick() implements ControlEvent {}

    /**
     * A peer sent a control message.
     *
     * @param message the message
     */
    record PeerSaid(PeerMessage message) implements ControlEvent {}

    /**
     * An operator sent a patch.
     *
     * @param patch the patch
     */
    record PatchSubmitted(PolicyPatch patch) implements ControlEvent {}

    /**
     * Every connection that peers had opened was closed.
     *
     * @param floor number of the first connection opened after that
     */
    record LinksClosed(long floor) implements ControlEvent {}

    /** This node shall take no new work, finish what it has, and leave. */
    record DrainAsked() implements ControlEvent {}
}
