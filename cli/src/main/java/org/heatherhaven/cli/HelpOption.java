package org.heatherhaven.cli;

import com.beust.jcommander.Parameter;

/** The option {@code --help}, which every command accepts. */
final class HelpOption {

    @Parameter(names = "--help", help = true, description = "Show the options of the command")
    private boolean help;

    boolean requested() {
        return help;
    }
}
