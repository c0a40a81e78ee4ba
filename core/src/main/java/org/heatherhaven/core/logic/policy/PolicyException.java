package org.heatherhaven.core.logic.policy;

/** A patch that can't be applied. */
public class PolicyException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** What is wrong with a patch. */
    public enum Code {
        WRONG_BASE,
        BAD_VALUE,
        UNKNOWN_NAME,
        SHARES_FIXED
    }

    private final Code code;

    /**
     * Creates the exception.
     *
     * @param code what is wrong
     * @param message one sentence for the operator
     */
    public PolicyException(Code code, String message) {
        super(message);
        this.code = code;
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
