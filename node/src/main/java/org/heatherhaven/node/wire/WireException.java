package org.heatherhaven.node.wire;

/** A frame that can't be read. */
public class WireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** What is wrong with a frame. */
    public enum Code {
        UNKNOWN_TYPE,
        BAD_PAYLOAD,
        NOT_AUTHENTICATED
    }

    private final Code code;

    /**
     * Creates the exception.
     *
     * @param code what is wrong
     * @param message one sentence for a log
     * @param cause what was thrown below
     */
    public WireException(Code code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Creates the exception.
     *
     * @param code what is wrong
     * @param message one sentence for a log
     */
    public WireException(Code code, String message) {
        this(code, message, null);
    }

    /**
     * What is wrong.
     *
     * @return the code
     */
    public Code code() {
        return code;
    }
}
