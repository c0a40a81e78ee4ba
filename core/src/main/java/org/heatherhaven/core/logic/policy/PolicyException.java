package org.heatherhaven.core.logic.policy;

/** Thrown if a policy patch can't be applied. */
public class PolicyException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Reason why a patch can't be applied. */
    public enum Code {
        /** The patch was written against a version other than the one in force. */
        WRONG_BASE,
        /** A value is malformed or out of range. */
        BAD_VALUE,
        /** The patch refers to a team, route or key that doesn't exist. */
        UNKNOWN_NAME,
        /** The patch changes the number of shares of an existing team. */
        SHARES_FIXED
    }

    private final Code code;

    /**
     * Creates the exception.
     *
     * @param code reason why the patch can't be applied
     * @param message description for the operator, one sentence
     */
    public PolicyException(Code code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Returns why the patch can't be applied.
     *
     * @return the code
     */
    public Code code() {
        return code;
    }
}
