package org.heatherhaven.node.settings;

/** A settings or patch file that is not valid. */
public class SettingsException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Kinds of errors. */
    public enum Code {
        /** The file can't be read. */
        UNREADABLE,
        /** The file is not TOML. */
        NOT_TOML,
        /** The file has a key that is not a setting. */
        UNKNOWN_KEY,
        /** A required setting is missing. */
        MISSING,
        /** A value has the wrong type or is out of range. */
        INVALID_VALUE
    }

    private final Code code;

    /**
     * Creates the exception.
     *
     * @param code kind of the error
     * @param message one line with the file, line and setting, and the expected value
     */
    public SettingsException(Code code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Returns the kind of the error.
     *
     * @return the kind
     */
    public Code code() {
        return code;
    }
}
