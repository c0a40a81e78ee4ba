package org.heatherhaven.cli;

/** One command of the command line. */
public interface Command {

    /**
     * Runs the command.
     *
     * @return how it ended
     * @throws InterruptedException if the thread is interrupted
     */
    ExitCode run() throws InterruptedException;
}
