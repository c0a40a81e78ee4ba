package org.heatherhaven.core.event;

import java.time.Duration;

import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.TargetReport;

/** Time, peers and operators. */
public sealed interface ControlEvent extends Event {

    /** Time has passed. */
    record Tick() implements ControlEvent {}

    /**
     * The time of day went ahead of the monotonic clock: somebody set it, or the machine was suspended.
     *
     * @param jump how far
     */
    record ClockJumped(Duration jump) implements ControlEvent {}

    /**
     * A peer sent a control message.
     *
     * @param message the message
     */
    record PeerMessageReceived(PeerMessage message) implements ControlEvent {}

    /**
     * An operator sent a patch.
     *
     * @param patch the patch
     */
    record PatchSubmitted(PolicyPatch patch) implements ControlEvent {}

    /**
     * Every connection that peers had opened was closed.
     *
     * @param oldestValidLink number of the first connection opened after that
     */
    record LinksClosed(long oldestValidLink) implements ControlEvent {}

    /**
     * The target reported.
     *
     * @param report what it said of itself
     * @param ticket number under which the report is acknowledged
     */
    record TargetReported(TargetReport report, long ticket) implements ControlEvent {}

    /**
     * The target said that it leaves for good.
     *
     * @param instance identifier of the process life
     * @param ticket number under which the word is acknowledged
     */
    record TargetLeft(String instance, long ticket) implements ControlEvent {}

    /**
     * Settings were read again.
     *
     * @param homeService service named as the origin of calls until the target reports one
     * @param keysTrustedFor age of the platform's word after which keys are no longer trusted
     */
    record SettingsChanged(String homeService, Duration keysTrustedFor) implements ControlEvent {}

    /** This node shall take no new work, finish what it has, and leave. */
    record DrainRequested() implements ControlEvent {}
}
