package org.heatherhaven.cli.operator;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.beust.jcommander.converters.PathConverter;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;
import org.heatherhaven.node.settings.PatchReader;

/** Sends the policy patch in a TOML file to a node. */
@Parameters(commandDescription = "Patch the policy: accepted as a new version, rejected, or unknown")
public final class PolicyPatchCommand implements Command {

    @Parameter(description = "FILE", required = true, converter = PathConverter.class)
    private Path file;

    @ParametersDelegate
    private OperatorOptions options = new OperatorOptions();

    @Override
    public ExitCode run() {
        return PatchSender.send(options, PatchReader.read(file, PatchSender.currentUser()));
    }
}
