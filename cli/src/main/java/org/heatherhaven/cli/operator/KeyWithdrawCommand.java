package org.heatherhaven.cli.operator;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;

/** Withdraws an API key, which is named by its hash. */
@Parameters(commandDescription = "Withdraw a key; it stops working within seconds, also for connected callers")
public final class KeyWithdrawCommand implements Command {

    @Parameter(names = "--hash", required = true, description = "Hash of the key, as shown when it was issued")
    private String hash;

    @ParametersDelegate
    private OperatorOptions options = new OperatorOptions();

    @Override
    public ExitCode run() {
        return PatchSender.sendOnLatestVersion(
                options, base -> PatchSender.keyPatch(base, "withdraw a key", List.of(), List.of(hash)));
    }
}
