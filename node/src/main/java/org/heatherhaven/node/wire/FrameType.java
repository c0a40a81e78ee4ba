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

/** Types of frames; the code is the first byte, and is never given to another type. */
public enum FrameType {
    HELLO(1, Hello.class),
    PROOF(2, Proof.class),
    OFFER(10, OfferHead.class),
    ANSWER(11, AnswerHead.class),
    REFUSED(12, RefusedHead.class),
    END(13, AnswerEnd.class),
    CHUNK(14, null),
    BODY_END(15, null),
    CREDIT(16, Integer.class),
    CANCEL(17, null),
    KEEPALIVE(18, null),
    REPLY(19, ReplyHead.class),
    PROBE(32, Probe.class),
    PROBE_ACK(33, ProbeAck.class),
    PROBE_REQUEST(34, ProbeRequest.class),
    MEMBERS_PULL(35, MembersPull.class),
    MEMBERS_PAGE(36, MembersPage.class),
    POLICY_PULL(37, PolicyPull.class),
    POLICY_PAGE(38, PolicyPage.class),
    PROMISE_ASK(39, LeaseRenewalRequest.class),
    PROMISE_GIVE(40, LeaseRenewalGrant.class),
    LOAN_ASK(41, LoanRequest.class),
    LOAN_GRANT(42, LoanGrant.class),
    PERMIT_ASK(43, PermitRequest.class),
    PERMIT_ANSWER(44, PermitResponse.class),
    PERMIT_REPORT(45, PermitReport.class),
    HAND_OVER(46, LeaseHandover.class);

    private static final int FIRST_CONTROL_CODE = 32;
    private static final int CODE_LIMIT = 128;
    private static final FrameType[] BY_CODE = new FrameType[CODE_LIMIT];

    static {
        Arrays.stream(values()).forEach(type -> BY_CODE[type.code] = type);
    }

    private final int code;
    private final Class<?> payloadClass;

    FrameType(int code, Class<?> payload) {
        this.code = code;
        this.payloadClass = payload;
    }

    int code() {
        return code;
    }

    /**
     * Class of the payload.
     *
     * @return the class, or nothing for raw or empty payloads
     */
    public Optional<Class<?>> payloadClass() {
        return Optional.ofNullable(payloadClass);
    }

    /**
     * Tells control messages from frames of calls.
     *
     * @return true for control messages
     */
    public boolean isControl() {
        return code >= FIRST_CONTROL_CODE;
    }

    static Optional<FrameType> of(int code) {
        return code < 0 || code >= CODE_LIMIT ? Optional.empty() : Optional.ofNullable(BY_CODE[code]);
    }

    /**
     * Finds the type of a control message.
     *
     * @param message the message
     * @return its type
     */
    public static FrameType of(Object message) {
        return Arrays.stream(values())
                .filter(type -> message.getClass().equals(type.payloadClass))
                .findFirst()
                .orElseThrow(
                        () -> new WireException(WireException.Code.UNKNOWN_TYPE, "no frame for " + message.getClass()));
    }
}
