package org.heatherhaven.node.wire;

/**
 * A frame whose type is unknown or whose payload can't be decoded, on a connection whose other frames are not affected.
 * Only the call that the frame belongs to, or the control message that it carries, is lost.
 */
public final class BadFrameException extends WireException {

    private static final long serialVersionUID = 1L;

    private final String typeName;
    private final boolean offer;
    private final long stream;

    BadFrameException(int code, long stream, WireException cause) {
        super(cause.code(), cause.getMessage(), cause);
        this.typeName = FrameType.of(code).map(FrameType::name).orElse("code " + code);
        this.offer = FrameType.OFFER.code() == code;
        this.stream = stream;
    }

    /**
     * Returns the name of the frame's type, for the log.
     *
     * @return name of the type, or its code if no type has it
     */
    public String typeName() {
        return typeName;
    }

    /**
     * Returns whether the frame is the first one of a call.
     *
     * @return true for an offer
     */
    public boolean isOffer() {
        return offer;
    }

    /**
     * Returns the number of the call that the frame belongs to.
     *
     * @return number of the call, 0 for frames that belong to no call
     */
    public long stream() {
        return stream;
    }
}
