package org.heatherhaven.cli.run;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;
import org.heatherhaven.node.NodeDaemon;
import org.heatherhaven.node.settings.NodeSettings;
import org.heatherhaven.node.settings.NodeSettingsReader;
import sun.misc.Signal;

/** Runs a node until it is told to stop. */
@Parameters(commandDescription = "Run the node beside a target; SIGTERM stops it gracefully, a second one at once")
public final class NodeCommand implements Command {

    private static final int TERMINATED = 143;

    @Parameter(
            names = "--settings",
            required = true,
            converter = PathConverter.class,
            description = "File of settings, TOML")
    private Path settingsFile;

    @Parameter(names = "--log", description = "Form of the log: text or json")
    private String logFormat = "text";

    @Override
    public ExitCode run() throws InterruptedException {
        Logging.configure(logFormat);
        NodeSettings settings = NodeSettingsReader.read(settingsFile);
        NodeDaemon node = new NodeDaemon(settings);
        AtomicBoolean stopping = new AtomicBoolean();
        Signal.handle(new Signal("TERM"), signal -> {
            if (stopping.compareAndSet(false, true)) {
                node.drain();
            } else {
                Runtime.getRuntime().halt(TERMINATED);
            }
        });
        node.start();
        node.awaitLeft();
        node.stop();
        return ExitCode.OK;
    }
}
