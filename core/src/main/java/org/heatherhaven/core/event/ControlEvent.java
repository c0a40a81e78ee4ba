package org.heatherhaven.core.event;

import java.time.Duration;

import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.TargetReport;

/** Events from the clock, peers, operators and the target's reports. */
public sealed interface ControlEvent extends Event {

    /** The periodic timer fired. */
    record Tick() implements ControlEvent {}

    /**
     * The time of day advanced further than the monotonic clock: it was set, or the machine was suspended.
     *
     * @param jump difference between the two advances
     */
    record ClockJumped(Duration jump) implements ControlEvent {}

    /**
     * A peer sent a control message.
     *
     * @param message the message
     */
    record PeerMessageReceived(PeerMessage message) implements ControlEvent {}

    /**
     * An operator submitted a policy patch.
     *
     * @param patch the patch
     */
    record PatchSubmitted(PolicyPatch patch) implements ControlEvent {}

    /**
     * Every connection that peers had opened was closed.
     *
     * @param oldestValidLink number of the first connection opened after that; offers on lower-numbered ones are no
     *     longer valid
     */
    record LinksClosed(long oldestValidLink) implements ControlEvent {}

    /**
     * The target sent a status report.
     *
     * @param report content of the report
     * @param ticket number under which the report is acknowledged
     */
    record TargetReported(TargetReport report, long ticket) implements ControlEvent {}

    /**
     * The target reported that its process stops for good.
     *
     * @param instance identifier of the target process
     * @param ticket number under which the report is acknowledged
     */
    record TargetLeft(String instance, long ticket) implements ControlEvent {}

    /**
     * Settings were reloaded.
     *
     * @param homeService service named as the origin of calls until the target reports one
     * @param keysTrustedFor maximum age of the platform's confirmation of the policy for keys to be accepted
     */
    record SettingsChanged(String homeService, Duration keysTrustedFor) implements ControlEvent {}

    /** A shutdown was requested: this node accepts no new work, finishes what it has, and leaves the fleet. */
    record DrainRequested() implements ControlEvent {}
}
