package org.heatherhaven.node.wire;

import java.util.Arrays;
import java.util.Optional;

import org.heatherhaven.core.message.LeaseHandover;
import org.heatherhaven.core.message.LeaseRenewalGrant;
import org.heatherhaven.core.message.LeaseRenewalRequest;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.message.LoanRequest;
import org.heatherhaven.core.message.MembersPage;
import org.heatherhaven.core.message.MembersPull;
import org.heatherhaven.core.message.PermitReport;
import org.heatherhaven.core.message.PermitRequest;
import org.heatherhaven.core.message.PermitResponse;
import org.heatherhaven.core.message.PolicyPage;
import org.heatherhaven.core.message.PolicyPull;
import org.heatherhaven.core.message.Probe;
import org.heatherhaven.core.message.ProbeAck;
import org.heatherhaven.core.message.ProbeRequest;

/**
 * Types of frames.
 *
 * <p>The code identifies the type on the wire and is never reused for another type. Codes from 32 are control messages
 * between nodes; the codes below belong to the handshake, to calls and to the connection itself.
 *
 * <p>The names of the constants are part of the documented wire format; some are older than the names of the payload
 * classes.
 */
public enum FrameType {
    /** Identifies the sender of a handshake and carries its nonce. */
    HELLO(1, Hello.class),
    /** Proves in the handshake that the sender has a fleet secret. */
    PROOF(2, Proof.class),
    /** Offers a call to the node beside a target. */
    OFFER(10, OfferHead.class),
    /** Status and headers of an answer whose body follows in chunks. */
    ANSWER(11, AnswerHead.class),
    /** Refuses an offered call. */
    REFUSED(12, RefusedHead.class),
    /** Ends an answer that was sent in chunks. */
    END(13, AnswerEnd.class),
    /** Raw bytes of a request or answer body. */
    CHUNK(14, null),
    /** Ends a request body. */
    BODY_END(15, null),
    /** Lets the receiver send this many more bytes of a body. */
    CREDIT(16, Integer.class),
    /** Cancels a call whose answer is no longer needed. */
    CANCEL(17, null),
    /** Sent on a connection with open calls when nothing else was written for a while. */
    KEEPALIVE(18, null),
    /** A complete answer, head and body, in one frame. */
    REPLY(19, ReplyHead.class),
    /** Raw bytes of a part of a control message that does not fit into one frame. */
    PART(20, null),
    /** Probes a member and carries a gossip update. */
    PROBE(32, Probe.class),
    /** Acknowledges a probe. */
    PROBE_ACK(33, ProbeAck.class),
    /** Asks a member to probe another one. */
    PROBE_REQUEST(34, ProbeRequest.class),
    /** Requests one page of the member table. */
    MEMBERS_PULL(35, MembersPull.class),
    /** One page of the member table. */
    MEMBERS_PAGE(36, MembersPage.class),
    /** Requests the policy versions after a given one. */
    POLICY_PULL(37, PolicyPull.class),
    /** Policy versions in order, preceded by a snapshot if the requester is too far behind. */
    POLICY_PAGE(38, PolicyPage.class),
    /** Requests the renewal of leases from their standby. */
    PROMISE_ASK(39, LeaseRenewalRequest.class),
    /** Grants the renewal of leases. */
    PROMISE_GIVE(40, LeaseRenewalGrant.class),
    /** Requests a loan of tokens from the holder of a share. */
    LOAN_ASK(41, LoanRequest.class),
    /** Grants or denies a loan of tokens. */
    LOAN_GRANT(42, LoanGrant.class),
    /** Requests an idempotency permit. */
    PERMIT_ASK(43, PermitRequest.class),
    /** Responds to a request for an idempotency permit. */
    PERMIT_ANSWER(44, PermitResponse.class),
    /** Reports how a request with an idempotency permit ended. */
    PERMIT_REPORT(45, PermitReport.class),
    /** Hands a lease of a leaving holder over to its standby. */
    HAND_OVER(46, LeaseHandover.class);

    private static final int FIRST_CONTROL_CODE = 32;
    private static final int CODE_LIMIT = 128;
    private static final FrameType[] BY_CODE = new FrameType[CODE_LIMIT];

    static {
        Arrays.stream(values()).forEach(type -> BY_CODE[type.code] = type);
    }

    private final int code;
    private final Class<?> payloadClass;

    FrameType(int code, Class<?> payloadClass) {
        this.code = code;
        this.payloadClass = payloadClass;
    }

    /** Returns the code written on the wire, 0 to 127. */
    int code() {
        return code;
    }

    /**
     * Returns the class of the payload.
     *
     * @return the class, or empty if frames of this type carry no payload or raw bytes only
     */
    public Optional<Class<?>> payloadClass() {
        return Optional.ofNullable(payloadClass);
    }

    /**
     * Returns whether frames of this type are control messages between nodes.
     *
     * @return true for control messages, false for frames of the handshake, of calls and of the connection itself
     */
    public boolean isControl() {
        return code >= FIRST_CONTROL_CODE;
    }

    /** Returns whether messages of this type can be longer than a frame, and are then sent in parts. */
    boolean canBeSplit() {
        return this == POLICY_PAGE || this == MEMBERS_PAGE || this == HAND_OVER;
    }

    /** Returns whether frames of this type carry raw bytes and nothing else. */
    boolean isRaw() {
        return this == CHUNK || this == PART;
    }

    /** Finds the type with the given code; empty if there is none. */
    static Optional<FrameType> of(int code) {
        return code < 0 || code >= CODE_LIMIT ? Optional.empty() : Optional.ofNullable(BY_CODE[code]);
    }

    /**
     * Finds the frame type of a control message by its class.
     *
     * @param message the message
     * @return its type
     * @throws WireException if no frame carries messages of this class
     */
    public static FrameType of(Object message) {
        return Arrays.stream(values())
                .filter(type -> message.getClass().equals(type.payloadClass))
                .findFirst()
                .orElseThrow(() ->
                        new WireException(WireException.Code.UNKNOWN_TYPE, "no frame type for " + message.getClass()));
    }
}
