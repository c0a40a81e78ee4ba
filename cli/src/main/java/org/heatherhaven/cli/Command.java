package org.heatherhaven.cli;

/** A command of the command line; its fields are filled from the arguments before it runs. */
public interface Command {

    /**
     * Runs the command.
     *
     * @return exit code of the process
     * @throws InterruptedException if the thread is interrupted
     */
    ExitCode run() throws InterruptedException;
}
