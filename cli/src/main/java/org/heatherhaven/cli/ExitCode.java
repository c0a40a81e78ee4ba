package org.heatherhaven.cli;

/** Exit codes, the same for every command. */
public enum ExitCode {
    /** Done. */
    OK(0),
    /** Refused: nothing has changed. */
    REFUSED(1),
    /** The command line or a file can't be used. */
    USAGE(2),
    /** What happened is not known; ask again. */
    UNKNOWN(3),
    /** The node could not be reached. */
    UNREACHABLE(4),
    /** A fault of the program itself; its trace is on the standard error. */
    FAILED(70);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Number for the shell.
     *
     * @return the exit code
     */
    public int code() {
        return code;
    }
}
