package org.heatherhaven.node.platform;

/** A call to the platform without a certain answer; a write may have taken effect, or may still do. */
public class PlatformException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** What went wrong. */
    public enum Code {
        UNREACHABLE,
        BUSY,
        MALFORMED_RESPONSE
    }

    private final Code code;

    /**
     * Creates the exception.
     *
     * @param code what went wrong
     * @param message one sentence for a log
     */
    public PlatformException(Code code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * What went wrong.
     *
     * @return the code
     */
    public Code code() {
        return code;
    }
}
