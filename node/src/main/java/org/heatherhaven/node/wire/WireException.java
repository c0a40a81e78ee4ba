package org.heatherhaven.node.wire;

/** Thrown when a frame can't be encoded or decoded, or when a peer fails to authenticate. */
public class WireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Kinds of failure. */
    public enum Code {
        /** No frame type has this code, or none carries messages of this class. */
        UNKNOWN_TYPE,
        /** The length or the payload of a frame is invalid. */
        BAD_PAYLOAD,
        /** The peer broke the order of the handshake or has no secret of the fleet. */
        NOT_AUTHENTICATED
    }

    private final Code code;

    /**
     * Creates the exception.
     *
     * @param code kind of failure
     * @param message description for the log
     * @param cause exception of the library
     */
    public WireException(Code code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Creates the exception.
     *
     * @param code kind of failure
     * @param message description for the log
     */
    public WireException(Code code, String message) {
        this(code, message, null);
    }

    /**
     * Returns the kind of failure.
     *
     * @return the code
     */
    public Code code() {
        return code;
    }
}
