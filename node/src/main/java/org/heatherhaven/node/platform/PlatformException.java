package org.heatherhaven.node.platform;

/** A failed call to the platform. If the call was a write, it may have taken effect, or may still take effect later. */
public class PlatformException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Kinds of failures. */
    public enum Code {
        /** The platform sent no response, or an unexpected status. */
        UNREACHABLE,
        /** The platform limited the rate of calls. */
        BUSY,
        /** The response can't be parsed. */
        MALFORMED_RESPONSE
    }

    private final Code code;

    /**
     * Creates the exception.
     *
     * @param code kind of the failure
     * @param message one sentence for the log
     */
    public PlatformException(Code code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Returns the kind of the failure.
     *
     * @return the kind
     */
    public Code code() {
        return code;
    }
}
