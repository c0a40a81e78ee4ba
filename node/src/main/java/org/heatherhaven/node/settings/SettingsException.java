package org.heatherhaven.node.settings;

/** A file of settings that can't be used. */
public class SettingsException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** What is wrong with a file. */
    public enum Code {
        UNREADABLE,
        NOT_TOML,
        UNKNOWN_KEY,
        MISSING,
        INVALID_VALUE
    }

    private final Code code;

    /**
     * Creates the exception.
     *
     * @param code what is wrong
     * @param message one line: file, line, setting, what was expected
     */
    public SettingsException(Code code, String message) {
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
