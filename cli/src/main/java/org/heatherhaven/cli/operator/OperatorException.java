package org.heatherhaven.cli.operator;

import org.heatherhaven.cli.ExitCode;

/** Thrown when an operator command fails; carries the exit code of the process. */
public class OperatorException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /**
     * Creates the exception.
     *
     * @param exitCode exit code of the process
     * @param message one sentence that states the cause
     */
    public OperatorException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the exit code
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
