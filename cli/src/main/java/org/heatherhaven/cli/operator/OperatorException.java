package org.heatherhaven.cli.operator;

import org.heatherhaven.cli.ExitCode;

/** A command of an operator that did not get what it asked for. */
public class OperatorException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /**
     * Creates the exception.
     *
     * @param exitCode how the command ends
     * @param message one sentence for the operator
     */
    public OperatorException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * How the command ends.
     *
     * @return the exit code
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
