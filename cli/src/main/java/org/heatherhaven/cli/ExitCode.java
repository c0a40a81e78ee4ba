package org.heatherhaven.cli;

/** Exit codes of the process, the same for every command. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The request was refused, and nothing has changed. */
    REFUSED(1),
    /** The command line or a file that it names is invalid. */
    USAGE(2),
    /** The result of the request is unknown; send the request again. */
    UNKNOWN(3),
    /** The node could not be reached. */
    UNREACHABLE(4),
    /** An unexpected exception in the program; its stack trace is on standard error. */
    FAILED(70);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the number that the process exits with.
     *
     * @return exit code, 0 for success
     */
    public int code() {
        return code;
    }
}
